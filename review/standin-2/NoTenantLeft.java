import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;

/**
 * The operator takes away the last tenant of a deployment whose configuration contains tenants. A
 * client then sends requests with a key that no configuration ever held, and without a key.
 */
public final class NoTenantLeft {

  private static final int CONFIG_MILLIS = 2_000;
  private static final int REQUESTS = 20;
  private static final String HOST = "calls.example";
  private static final String TENANT =
      "{\"Name\":\"yard\",\"ApiKeys\":[%s],\"Priority\":1,\"Prepaid\":1000000}";

  private final Fleet fleet;
  private final Record record;
  private int requests;

  private NoTenantLeft(Fleet fleet, Record record) {
    this.fleet = fleet;
    this.record = record;
  }

  /** Argument: the file of the record. */
  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = 2;
    try (Record record = new Record(Path.of(args[0]))) {
      try (Fleet fleet = new Fleet(3, 2, record)) {
        result = new NoTenantLeft(fleet, record).run(trouble) ? 0 : 1;
      } catch (Exception e) {
        record.report("the case could not run: %s", e);
        result = 2;
      }
    }
    System.exit(result);
  }

  private static String configuration(long version, String tenants) {
    return ("{\"Version\":%d,\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"%s\",\"PathPrefix\":\"/ask/\","
            + "\"Kind\":\"streaming\",\"TimeoutMs\":12000,\"TargetLatencyMs\":500,\"Priority\":0,"
            + "\"Service\":\"model\",\"MaxAttempts\":1,\"Public\":false,\"Sticky\":true,"
            + "\"Resumable\":false,\"TargetGapMs\":500}],\"Services\":[{\"Name\":\"model\","
            + "\"HealthPath\":\"/health\",\"MaxConnections\":771,\"Protocol\":\"h1\",\"Tls\":false,"
            + "\"Engine\":{\"Slots\":64,\"KvCapacity\":594063,\"TokenKvBytes\":163840,\"Stride\":5,"
            + "\"Models\":[{\"Name\":\"m\"}]}}],\"Limits\":{\"MaxHeaderBytes\":16384,"
            + "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
            + "\"Tenants\":[%s]}")
        .formatted(version, HOST, tenants);
  }

  private boolean run(boolean trouble) throws Exception {
    fleet.start(configuration(1, TENANT.formatted("\"held-key\"")));
    fleet.startWorker("w-0", "model", "zone-a", "20", "3");
    fleet.awaitReady();
    Thread.sleep(5_000);
    int known = send("held-key");
    int unknown = send("never-held-key");
    record.report("version 1: a held key gets %s, one never held %s", known, unknown);
    if (known != 200 || unknown != 401) {
      throw new IOException("the deployment does not serve its tenant");
    }
    String rest = trouble ? "" : TENANT.formatted("");
    Fleet.Answer answer = fleet.replace(configuration(2, rest));
    record.report("version 2 with the tenants [%s] is answered %s", rest, answer.status());
    if (answer.status() != 200) {
      throw new IOException("version 2 is not acknowledged");
    }
    Thread.sleep(CONFIG_MILLIS + 1_000);
    int served = 0;
    for (int i = 0; i < REQUESTS; i++) {
      served += send("never-held-key") == 200 ? 1 : 0;
      served += send("") == 200 ? 1 : 0;
    }
    List<String> shown =
        fleet.workerLog("w-0").stream().filter(l -> l.contains("Token never-held-key")).toList();
    shown.forEach(l -> record.log("worker: %s", l));
    record.report("of %s requests without a held key %s were served", 2 * REQUESTS, served);
    record.report("the worker was shown the key %s times", shown.size());
    return served == 0 && shown.isEmpty();
  }

  private int send(String key) {
    Fleet.Node router = fleet.routers.get(requests % fleet.routers.size());
    String id = "%016x".formatted(0x7000_0000L + requests++);
    int status;
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress(router.ip, fleet.frontPort()), 1_000);
      s.setSoTimeout(5_000);
      Http.write(
          s.getOutputStream(),
          "POST /ask/1 HTTP/1.1\r\nHost: " + HOST + "\r\nGoldcrestfall-Request-Id: " + id
              + "\r\nGoldcrestfall-Model: m\r\nGoldcrestfall-Token-Count: 200,15\r\n"
              + "Goldcrestfall-Prompt-Prefix: 5c1e07a2:100,e4402b7d:100\r\n"
              + "Goldcrestfall-Deadline: 5000\r\n"
              + (key.isEmpty() ? "" : "Authorization: Token " + key + "\r\n")
              + "Content-Length: 5\r\n\r\nhello");
      Http.Message m = Http.read(new BufferedInputStream(s.getInputStream()));
      status = m == null ? 0 : m.status();
    } catch (IOException e) {
      status = 0;
    }
    record.log("client: request %s with key '%s' to %s gets %s", id, key, router.name, status);
    return status;
  }
}
