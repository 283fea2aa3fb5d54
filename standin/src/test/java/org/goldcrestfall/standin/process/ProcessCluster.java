package org.goldcrestfall.standin.process;

import static com.google.common.io.RecursiveDeleteOption.ALLOW_INSECURE;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.hash.Hashing;
import com.google.common.io.MoreFiles;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.common.LoopbackAddresses;

/**
 * A cluster of three daemons in both roles, a stand-in engine and a stand-in service, each a
 * separate process on the loopback interface. Waits are by polling with a generous timeout, so that
 * tests do not depend on the duration of a step.
 */
final class ProcessCluster implements AutoCloseable {

  static final JsonMapper MAPPER = new JsonMapper();

  private static final long AWAIT_TIMEOUT_SECONDS = 120;
  private static final long POLL_INTERVAL_MILLIS = 100;
  private static final String OPERATOR_TOKEN = "operator-token";
  private static final String UPSTREAM_KEY = "upstream-key";
  private static final int HTTP_PORT = 17_080;
  private static final int PEER_PORT = 17_081;
  private static final List<String> HOSTS = List.of("h1", "h2", "h3");
  private static final Path PROJECT_ROOT = Path.of("..").toAbsolutePath().normalize();
  private static final Path DAEMON_JAR = PROJECT_ROOT.resolve("daemon/target/goldcrestfalld.jar");
  private static final Path STANDIN_JAR =
      PROJECT_ROOT.resolve("standin/target/goldcrestfall-standin.jar");

  private final Path folder;
  private final HttpClient http =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
  private final Map<String, Process> processes = new LinkedHashMap<>();
  private final String network = LoopbackAddresses.nextNetwork();
  private final String engineIp = network + ".4";
  private final String serviceIp = network + ".5";
  private int operationCount;

  ProcessCluster(Path folder, int tokenIntervalMillis) throws Exception {
    this.folder = folder;
    for (String host : hosts()) {
      startDaemon(host);
    }
    List<String> routers = hosts().stream().map(h -> ip(h) + ":" + HTTP_PORT).toList();
    List<String> commonArguments =
        List.of("--routers", String.join(",", routers), "--upstream-key", UPSTREAM_KEY);
    startStandin(
        "engine",
        engineIp,
        commonArguments,
        "--models",
        "hull-1",
        "--token-interval-millis",
        String.valueOf(tokenIntervalMillis));
    startStandin("service", serviceIp, commonArguments, "--service", "mill");
    for (String host : hosts()) {
      awaitReady(host);
      await(
          "upstreams on " + host,
          () -> admin("GET", host, "upstreams", null).path("upstreams").size() == 2);
    }
  }

  List<String> hosts() {
    return HOSTS;
  }

  private String ip(String host) {
    return network + "." + (HOSTS.indexOf(host) + 1);
  }

  void startDaemon(String host) throws IOException {
    Path settings = folder.resolve(host + ".json");
    Files.writeString(settings, settings(host));
    startProcess(
        host,
        List.of("-Xmx160m", "-XX:+UseSerialGC"),
        DAEMON_JAR,
        "--settings",
        settings.toString());
  }

  private void startStandin(
      String kind, String ip, List<String> commonArguments, String... extraArguments)
      throws IOException {
    List<String> args =
        new ArrayList<>(
            List.of(
                kind, "--name", kind + "-1", "--address", ip, "--port", String.valueOf(HTTP_PORT)));
    args.addAll(commonArguments);
    args.addAll(List.of(extraArguments));
    startProcess(
        kind, List.of("-Xmx128m", "-XX:+UseSerialGC"), STANDIN_JAR, args.toArray(new String[0]));
  }

  private void startProcess(String name, List<String> jvmOptions, Path jar, String... args)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(jvmOptions);
    command.addAll(List.of("-jar", jar.toString()));
    command.addAll(List.of(args));
    processes.put(
        name,
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()))
            .start());
  }

  private String settings(String host) {
    StringBuilder members = new StringBuilder();
    StringBuilder seeds = new StringBuilder();
    for (String h : hosts()) {
      String comma = members.length() == 0 ? "" : ", ";
      String address = ip(h) + ":" + PEER_PORT;
      members.append(comma).append("{\"host\": \"%s\", \"address\": \"%s\"}".formatted(h, address));
      seeds.append(comma).append('"').append(address).append('"');
    }
    String template =
        """
        {"host": "%1$s", "zone": "zone-%1$s", "roles": ["router", "control"],
         "http": {"address": "%2$s", "port": %3$d},
         "peer": {"address": "%2$s", "port": %4$d, "key": "0123456789abcdef0123"},
         "seeds": [%5$s], "controlMembers": [%6$s], "dataFolder": "%7$s",
         "operators": [{"name": "ana", "tokenSha256": "%8$s"}], "upstreamKeySha256": "%9$s",
         "drain": {"notReadyMillis": 100, "maxMillis": 60000}}
        """;
    return template.formatted(
        host,
        ip(host),
        HTTP_PORT,
        PEER_PORT,
        seeds,
        members,
        dataFolder(host),
        sha256(OPERATOR_TOKEN),
        sha256(UPSTREAM_KEY));
  }

  Path dataFolder(String host) {
    return folder.resolve("data-" + host);
  }

  void deleteDataFolder(String host) throws IOException {
    MoreFiles.deleteRecursively(dataFolder(host), ALLOW_INSECURE);
  }

  /** Kills a process of this cluster with SIGKILL and waits for its end. */
  void kill(String name) throws InterruptedException {
    Process p = processes.remove(name);
    p.destroyForcibly();
    p.waitFor();
  }

  /** Stops a process with SIGTERM, waits for its end and returns its exit code. */
  int terminate(String name) throws InterruptedException {
    Process p = processes.remove(name);
    p.destroy();
    p.waitFor();
    return p.exitValue();
  }

  /** Waits for a leader of the control group and returns its host. */
  String leader() throws Exception {
    String[] found = new String[1];
    await(
        "a leader",
        () -> {
          for (String h : hosts()) {
            if (processes.containsKey(h)
                && admin("GET", h, "control", null).path("role").asText().equals("leader")) {
              found[0] = h;
              return true;
            }
          }
          return false;
        });
    return found[0];
  }

  void awaitReady(String host) throws Exception {
    await(
        host + " to be ready",
        () -> send(host, HttpRequest.newBuilder().GET(), "/readyz").statusCode() == 200);
  }

  /**
   * Polls until the condition holds. An I/O error or {@link IllegalStateException} of the condition
   * counts as false.
   *
   * @throws IllegalStateException on timeout
   */
  static void await(String what, Callable<Boolean> condition) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_TIMEOUT_SECONDS);
    Exception last = null;
    while (System.nanoTime() < deadlineNanos) {
      try {
        if (condition.call()) {
          return;
        }
      } catch (IOException | IllegalStateException e) {
        last = e;
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    throw new IllegalStateException("timed out waiting for " + what, last);
  }

  /**
   * Creates a plan for an intent and confirms it. Each request is repeated under the same operation
   * id until it is answered.
   */
  void confirm(String intent) throws Exception {
    int n = ++operationCount;
    String create = "{\"operation_id\": \"create-%d\", \"intent\": %s}".formatted(n, intent);
    long planId = postToFirstRunningHost("plans", create).path("id").asLong();
    String confirm = "{\"operation_id\": \"confirm-%d\"}".formatted(n);
    String state =
        postToFirstRunningHost("plans/" + planId + "/confirm", confirm).path("state").asText();
    if (!state.equals("CONFIRMED")) {
      throw new IllegalStateException("plan " + planId + " is " + state);
    }
  }

  /** Creates an API key for a workspace and waits until every host accepts it. */
  String createKey(String workspace) throws Exception {
    int n = ++operationCount;
    JsonNode created =
        postToFirstRunningHost(
            "keys",
            "{\"operation_id\": \"key-%d\", \"workspace\": \"%s\", \"key_id\": \"k%d\"}"
                .formatted(n, workspace, n));
    long planId = created.path("plan").path("id").asLong();
    postToFirstRunningHost(
        "plans/" + planId + "/confirm", "{\"operation_id\": \"confirm-%d\"}".formatted(n));
    String key = created.path("key").asText();
    for (String h : hosts()) {
      await("the key on " + h, () -> lookup(h, key).statusCode() == 200);
    }
    return key;
  }

  /** Posts to the operator API of the first running host until it answers with status 200. */
  private JsonNode postToFirstRunningHost(String path, String body) throws Exception {
    JsonNode[] answer = new JsonNode[1];
    await(
        "an answer to " + path,
        () -> {
          for (String h : hosts()) {
            if (processes.containsKey(h)) {
              answer[0] = admin("POST", h, path, body);
              return true;
            }
          }
          return false;
        });
    return answer[0];
  }

  /** Sends a request to the operator API of a host; any status but 200 is an exception. */
  JsonNode admin(String method, String host, String path, String body) throws Exception {
    HttpRequest.Builder r =
        HttpRequest.newBuilder()
            .header("Authorization", "Bearer " + OPERATOR_TOKEN)
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body));
    HttpResponse<String> response = send(host, r, "/admin/v1/" + path);
    if (response.statusCode() != 200) {
      throw new IllegalStateException(path + ": " + response.statusCode() + " " + response.body());
    }
    return MAPPER.readTree(response.body());
  }

  HttpResponse<String> chat(String host, String key, String id, String prompt, int maxTokens)
      throws Exception {
    String body =
        """
        {"model": "hull-1", "max_tokens": %d, "messages": [{"role": "user", "content": "%s"}]}
        """
            .formatted(maxTokens, prompt);
    return send(host, callerRequest(key, id).POST(jsonBody(body)), "/v1/chat/completions");
  }

  HttpResponse<String> book(String host, String key, String id) throws Exception {
    String body = "{\"item\": \"%s\"}".formatted(id);
    return send(host, callerRequest(key, id).POST(jsonBody(body)), "/v1/services/mill/bookings");
  }

  HttpResponse<String> lookup(String host, String key) throws Exception {
    return send(
        host,
        HttpRequest.newBuilder().header("Authorization", "Bearer " + key).GET(),
        "/v1/services/mill/stock/cedar");
  }

  /** Returns the number of times that the service has run each booking, by request id. */
  Map<String, Integer> bookingRuns() throws Exception {
    HttpRequest r =
        HttpRequest.newBuilder(URI.create("http://" + serviceIp + ":" + HTTP_PORT + "/stats"))
            .build();
    JsonNode runs =
        MAPPER.readTree(http.send(r, HttpResponse.BodyHandlers.ofString()).body()).path("runs");
    Map<String, Integer> runsByRequestId = new TreeMap<>();
    runs.fields().forEachRemaining(e -> runsByRequestId.put(e.getKey(), e.getValue().asInt()));
    return runsByRequestId;
  }

  private static HttpRequest.BodyPublisher jsonBody(String body) {
    return HttpRequest.BodyPublishers.ofString(body);
  }

  private static HttpRequest.Builder callerRequest(String key, String id) {
    return HttpRequest.newBuilder()
        .header("Authorization", "Bearer " + key)
        .header("Content-Type", "application/json")
        .header("Idempotency-Key", id)
        .timeout(Duration.ofSeconds(60));
  }

  /** Sends a request to the HTTP address of a host. */
  HttpResponse<String> send(String host, HttpRequest.Builder r, String path)
      throws IOException, InterruptedException {
    URI uri = URI.create("http://" + ip(host) + ":" + HTTP_PORT + path);
    return http.send(r.uri(uri).build(), HttpResponse.BodyHandlers.ofString());
  }

  private static String sha256(String text) {
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }

  @Override
  public void close() throws InterruptedException {
    for (String name : List.copyOf(processes.keySet())) {
      kill(name);
    }
  }
}
