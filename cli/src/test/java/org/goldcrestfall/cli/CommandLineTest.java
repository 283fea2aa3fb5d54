package org.goldcrestfall.cli;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

/** Checks the requests, the output and the exit codes that operators' scripts rely on. */
class CommandLineTest {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String PLAN =
      "{\"id\":7,\"operator\":\"ana\",\"state\":\"OPEN\",\"revision\":0,\"changes\":["
          + "{\"object\":\"budget/mill\",\"before\":null,\"after\":\"{\\\"paidIn\\\":5}\","
          + "\"base_revision\":0}]}";
  private static final String CONFIRMED =
      "{\"id\":7,\"operator\":\"ana\",\"state\":\"CONFIRMED\",\"revision\":42,\"changes\":[]}";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final List<FakeDaemon> daemons = new ArrayList<>();

  @AfterTry
  void stopDaemons() {
    daemons.forEach(FakeDaemon::close);
  }

  private FakeDaemon daemon() throws Exception {
    FakeDaemon daemon = new FakeDaemon();
    daemons.add(daemon);
    return daemon;
  }

  private ExitCode run(FakeDaemon daemon, String... args) {
    return run(Map.of("GOLDCRESTFALL_SERVER", daemon.address()), args);
  }

  private ExitCode run(Map<String, String> environment, String... args) {
    out.reset();
    err.reset();
    Map<String, String> all = new java.util.HashMap<>(Map.of("GOLDCRESTFALL_TOKEN", "secret"));
    all.putAll(environment);
    return new CommandLine(
            all, new PrintStream(out, true, UTF_8), new PrintStream(err, true, UTF_8))
        .run(args);
  }

  private String out() {
    return out.toString(UTF_8);
  }

  private String err() {
    return err.toString(UTF_8);
  }

  private static String closedPort() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }

  @Example
  void changeSubmitsTheIntentAndOnlyPrintsThePlan() throws Exception {
    FakeDaemon daemon = daemon().respond("POST /admin/v1/plans", 200, PLAN);
    assertThat(run(daemon, "budget", "top-up", "mill", "--tokens", "5"))
        .isEqualTo(ExitCode.SUCCESS);
    assertThat(daemon.requests()).hasSize(1);
    FakeDaemon.RecordedRequest request = daemon.requests().get(0);
    assertThat(request.authorization()).isEqualTo("Bearer secret");
    JsonNode body = MAPPER.readTree(request.body());
    assertThat(body.get("intent"))
        .isEqualTo(
            MAPPER.readTree("{\"type\":\"top_up_budget\",\"workspace\":\"mill\",\"tokens\":5}"));
    assertThat(body.get("operation_id").asText()).isNotEmpty();
    assertThat(out())
        .contains("plan 7 by ana, open", "budget/mill", "{\"paidIn\":5}", "plan confirm 7");
  }

  @Example
  void confirmedChangeSendsBothOperationsAndRepeatsThemUnderTheSameIds() throws Exception {
    FakeDaemon daemon =
        daemon()
            .respond("POST /admin/v1/plans", 200, PLAN)
            .respond("POST /admin/v1/plans/7/confirm", 200, CONFIRMED);
    String[] args = {
      "budget", "top-up", "mill", "--tokens", "5", "--confirm", "--operation-id", "op-1"
    };
    assertThat(run(daemon, args)).isEqualTo(ExitCode.SUCCESS);
    assertThat(out()).contains("confirmed at revision 42");
    assertThat(run(daemon, args)).isEqualTo(ExitCode.SUCCESS);
    assertThat(daemon.requests()).hasSize(4);
    assertThat(daemon.requests().subList(2, 4)).isEqualTo(daemon.requests().subList(0, 2));
    assertThat(daemon.requests().get(0).body()).contains("\"operation_id\":\"op-1\"");
    assertThat(daemon.requests().get(1).body()).isEqualTo("{\"operation_id\":\"op-1-confirm\"}");
  }

  @Example
  void everyIntentHasTheFieldsOfTheOperatorInterface() throws Exception {
    FakeDaemon daemon =
        daemon()
            .respond("POST /admin/v1/plans", 200, PLAN)
            .respond("POST /admin/v1/keys", 200, "{\"key\":\"k-123\",\"plan\":" + PLAN + "}");
    Map<String, String> intents =
        Map.of(
            "workspace create mill --default-class quick --tradeoff available",
            "{'type':'create_workspace','name':'mill','default_class':'quick',"
                + "'tradeoff':'AVAILABLE'}",
            "workspace limits mill --requests-per-second 9 --concurrent-requests 3",
            "{'type':'set_limits','workspace':'mill','requests_per_second':9,"
                + "'concurrent_requests':3}",
            "key revoke mill --key-id k",
            "{'type':'revoke_key','workspace':'mill','key_id':'k'}",
            "budget release-stranded mill --host r1 --boot 4",
            "{'type':'release_stranded','workspace':'mill',"
                + "'incarnation':{'host':'r1','boot':4}}",
            "patience set quick --price-per-mille 1500 --deadline-millis 800 --priority 9"
                + " --reserved-share-per-mille 300",
            "{'type':'set_patience_class','name':'quick','price_per_mille':1500,"
                + "'deadline_millis':800,'priority':9,'reserved_share_per_mille':300}",
            "service define shop --price-tokens 7 --idempotent-methods GET,PUT",
            "{'type':'define_service','name':'shop','price_tokens':7,"
                + "'idempotent_methods':['GET','PUT']}",
            "engine order e1 --action load --model hull-2",
            "{'type':'order_engine','engine':'e1','action':'load','model':'hull-2'}");
    for (Map.Entry<String, String> intent : intents.entrySet()) {
      assertThat(run(daemon, intent.getKey().split(" "))).isEqualTo(ExitCode.SUCCESS);
      JsonNode body = MAPPER.readTree(daemon.requests().get(daemon.requests().size() - 1).body());
      assertThat(body.get("intent").toString())
          .isEqualTo(MAPPER.readTree(intent.getValue().replace('\'', '"')).toString());
    }
    assertThat(run(daemon, "key", "create", "mill", "--key-id", "k", "--output", "json"))
        .isEqualTo(ExitCode.SUCCESS);
    assertThat(MAPPER.readTree(out()).get("key").asText()).isEqualTo("k-123");
    assertThat(MAPPER.readTree(out()).at("/plan/id").asInt()).isEqualTo(7);
  }

  @Example
  void conflictExitsWithThree() throws Exception {
    FakeDaemon daemon =
        daemon()
            .respondWithError("POST /admin/v1/plans/7/confirm", 409, "plan_conflict")
            .respond("POST /admin/v1/plans/8/confirm", 200, "{\"id\":8,\"state\":\"CONFLICTED\"}")
            .respondWithError("POST /admin/v1/plans/9/drop", 409, "plan_closed")
            .respondWithError("POST /admin/v1/plans/9/confirm", 409, "operation_reused");
    assertThat(run(daemon, "plan", "confirm", "7")).isEqualTo(ExitCode.CONFLICT);
    assertThat(err())
        .isEqualTo("goldcrestfall: plan_conflict: the message" + System.lineSeparator());
    assertThat(run(daemon, "plan", "confirm", "8")).isEqualTo(ExitCode.CONFLICT);
    assertThat(run(daemon, "plan", "drop", "9")).isEqualTo(ExitCode.CONFLICT);
    assertThat(run(daemon, "plan", "confirm", "9")).isEqualTo(ExitCode.REFUSED);
  }

  @Example
  void refusalExitsWithOneAndPrintsItsKindOnOneLine() throws Exception {
    FakeDaemon daemon = daemon().respondWithError("GET /admin/v1/budgets/mill", 404, "not_found");
    assertThat(run(daemon, "budget", "show", "mill")).isEqualTo(ExitCode.REFUSED);
    assertThat(err()).isEqualTo("goldcrestfall: not_found: the message" + System.lineSeparator());
    assertThat(out()).isEmpty();
  }

  @Example
  void unreachableServersExitWithFour() throws Exception {
    assertThat(run(Map.of(), "host", "list", "--server", closedPort()))
        .isEqualTo(ExitCode.NOT_REACHABLE);
    assertThat(err().lines()).hasSize(1);
    FakeDaemon daemon = daemon().respondWithError("GET /admin/v1/workspaces", 503, "no_quorum");
    assertThat(run(daemon, "workspace", "list")).isEqualTo(ExitCode.NOT_REACHABLE);
    assertThat(err()).contains("no_quorum");
  }

  @Example
  void requestIsRepeatedAtTheNextServerWithTheSameOperationId() throws Exception {
    FakeDaemon isolated = daemon().respondWithError("POST /admin/v1/plans", 503, "no_quorum");
    FakeDaemon leader = daemon().respond("POST /admin/v1/plans", 200, PLAN);
    ExitCode code =
        run(
            Map.of(),
            "budget",
            "top-up",
            "mill",
            "--tokens",
            "5",
            "--server",
            closedPort(),
            "--server",
            isolated.address(),
            "--server",
            leader.address());
    assertThat(code).isEqualTo(ExitCode.SUCCESS);
    assertThat(leader.requests()).isEqualTo(isolated.requests()).hasSize(1);
  }

  @Example
  void usageErrorsExitWithTwoBeforeAnyRequest() throws Exception {
    FakeDaemon daemon = daemon();
    for (String args :
        List.of(
            "",
            "budgets list",
            "budget",
            "budget grow mill",
            "budget top-up mill",
            "budget top-up mill --tokens many",
            "budget top-up mill --tokens 5 --colour red",
            "budget show",
            "budget show mill --output xml",
            "workspace create mill --default-class quick --tradeoff loose",
            "host list --server a,b\\c")) {
      String[] split = args.isEmpty() ? new String[0] : args.split(" ");
      assertThat(run(daemon, split)).as(args).isEqualTo(ExitCode.USAGE);
      assertThat(err()).as(args).isNotEmpty();
    }
    assertThat(daemon.requests()).isEmpty();
    assertThat(run(Map.of(), "host", "list")).isEqualTo(ExitCode.USAGE);
    assertThat(
            run(Map.of("GOLDCRESTFALL_TOKEN", "", "GOLDCRESTFALL_SERVER", "x:1"), "host", "list"))
        .isEqualTo(ExitCode.USAGE);
  }

  @Example
  void helpIsPrintedForEveryCommandOfTheOverview() {
    assertThat(run(Map.of(), "--help")).isEqualTo(ExitCode.SUCCESS);
    List<String> commands =
        out().lines().filter(line -> line.startsWith("  ")).map(String::strip).toList();
    assertThat(commands).hasSize(22);
    for (String line : commands) {
      String[] command = Arrays.copyOf(line.split(" +"), 3);
      command[2] = "--help";
      assertThat(run(Map.of(), command)).as(line).isEqualTo(ExitCode.SUCCESS);
      assertThat(out()).contains("--server", "--output");
    }
  }

  @Example
  void listsArePrintedAsTableOrAsTheResponseOfTheDaemon() throws Exception {
    String hosts =
        "{\"hosts\":[{\"host\":\"r1\",\"boot\":3,\"zone\":\"zone-a\",\"address\":\"1.2.3.4:5\","
            + "\"state\":\"alive\",\"config_revision\":12}]}";
    FakeDaemon daemon = daemon().respond("GET /admin/v1/hosts", 200, hosts);
    assertThat(run(daemon, "host", "list", "--output", "json")).isEqualTo(ExitCode.SUCCESS);
    assertThat(MAPPER.readTree(out())).isEqualTo(MAPPER.readTree(hosts));
    assertThat(run(daemon, "host", "list")).isEqualTo(ExitCode.SUCCESS);
    assertThat(out().lines())
        .containsExactly(
            "host  boot  zone    address    state  config_revision",
            "r1    3     zone-a  1.2.3.4:5  alive  12");
  }

  @Example
  void namesAreEncodedInPathsAndQueries() throws Exception {
    FakeDaemon daemon =
        daemon()
            .respond(
                "GET /admin/v1/audit?limit=5&object=workspace%2Fmill", 200, "{\"entries\":[]}");
    assertThat(run(daemon, "audit", "list", "--limit", "5", "--object", "workspace/mill"))
        .isEqualTo(ExitCode.SUCCESS);
  }
}
