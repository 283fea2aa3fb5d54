import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;

/**
 * A worker drains, leaves and starts again under the id that it had. The call with which its earlier
 * incarnation deregistered arrives seconds late, after the new one has registered.
 */
public final class LateDeparture {

  private static final long LATE_MILLIS = 4_000;
  private static final long DRAIN_MILLIS = 2_000;
  private static final long CONTACT_MILLIS = 3_000;
  private static final int REQUESTS = 100;
  private static final String HOST = "calls.example";

  private final Fleet fleet;
  private final Record record;
  private int requests;

  private LateDeparture(Fleet fleet, Record record) {
    this.fleet = fleet;
    this.record = record;
  }

  /** Argument: the file of the record. */
  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = 2;
    try (Record record = new Record(Path.of(args[0]))) {
      try (Fleet fleet = new Fleet(3, 2, record)) {
        result = new LateDeparture(fleet, record).run(trouble) ? 0 : 1;
      } catch (Exception e) {
        record.report("the case could not run: %s", e);
        result = 2;
      }
    }
    System.exit(result);
  }

  private static String route(String name) {
    return ("{\"Name\":\"r-%1$s\",\"Host\":\"%2$s\",\"PathPrefix\":\"/%1$s/\",\"Kind\":\"streaming\","
            + "\"TimeoutMs\":12000,\"TargetLatencyMs\":500,\"Priority\":0,\"Service\":\"model-%1$s\","
            + "\"MaxAttempts\":1,\"Public\":true,\"Sticky\":false,\"Resumable\":false,"
            + "\"TargetGapMs\":500}")
        .formatted(name, HOST);
  }

  private static String service(String name) {
    return ("{\"Name\":\"model-%s\",\"HealthPath\":\"/health\",\"MaxConnections\":771,"
            + "\"Protocol\":\"h1\",\"Tls\":false}")
        .formatted(name);
  }

  private static String configuration(long version, String routes) {
    return ("{\"Version\":%d,\"Routes\":[%s],\"Services\":[%s,%s],\"Limits\":"
            + "{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
            + "\"IdleTimeoutMs\":15000}}")
        .formatted(version, routes, service("a"), service("b"));
  }

  private boolean run(boolean trouble) throws Exception {
    fleet.start(configuration(1, route("a")));
    fleet.startWorker("w-a", "model-a", "zone-a", "20", "3");
    final Process first = fleet.startWorker("w-b", "model-b", "zone-b", "20", "3");
    fleet.awaitReady();
    Thread.sleep(5_000);
    Fleet.Answer added = fleet.replace(configuration(2, route("a") + "," + route("b")));
    if (added.status() != 200) {
      throw new IOException("version 2 is not acknowledged");
    }
    Thread.sleep(2_500);
    int before = send("b");
    record.report("version 2 adds a route; a request on it gets %s", before);
    if (before != 200) {
      throw new IOException("the added route is not served");
    }
    String born = fleet.workerLog("w-b").get(0).split(" ")[2];
    first.getOutputStream().write('\n');
    first.getOutputStream().flush();
    awaitDraining();
    Thread.sleep(DRAIN_MILLIS + 500);
    first.destroyForcibly().waitFor();
    record.log("worker: w-b, born %s, has ended; its call to deregister is on its way", born);
    Thread.sleep(500);
    fleet.startWorker("w-b", "model-b", "zone-b", "20", "3");
    Thread.sleep(LATE_MILLIS);
    record.report("w-b has started again; a request on the added route gets %s", send("b"));
    if (trouble) {
      Fleet.Answer late =
          fleet.call(
              fleet.controls.get(1).controlAddress(),
              "POST",
              "/-/instances/w-b/deregister",
              "{\"Service\":\"model-b\",\"Sequence\":900,\"born\":" + born + "}",
              1_000);
      record.report("the late call of the incarnation born %s gets %s", born, late.status());
    }
    Thread.sleep(CONTACT_MILLIS + 1_000);
    int servedA = 0;
    int servedB = 0;
    for (int i = 0; i < REQUESTS; i++) {
      servedA += send("a") == 200 ? 1 : 0;
      servedB += send("b") == 200 ? 1 : 0;
      Thread.sleep(100);
    }
    for (String l : fleet.workerLog("w-b")) {
      record.log("worker w-b: %s", l);
    }
    record.report(
        "of %s requests each, %s on the first route were served and %s on the added one",
        REQUESTS, servedA, servedB);
    return 4 * servedB >= servedA;
  }

  private void awaitDraining() throws IOException, InterruptedException {
    for (int i = 0; i < 50; i++) {
      if (fleet.workerLog("w-b").stream().anyMatch(l -> l.contains("draining is acknowledged"))) {
        record.log("worker: w-b is draining, which is acknowledged");
        return;
      }
      Thread.sleep(100);
    }
    throw new IOException("the worker's draining is not acknowledged");
  }

  private int send(String route) {
    Fleet.Node router = fleet.routers.get(requests / 2 % fleet.routers.size());
    String id = "%016x".formatted(0x7000_0000L + requests++);
    int status;
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress(router.ip, fleet.frontPort()), 1_000);
      s.setSoTimeout(5_000);
      Http.write(
          s.getOutputStream(),
          "POST /" + route + "/1 HTTP/1.1\r\nHost: " + HOST + "\r\nGoldcrestfall-Request-Id: " + id
              + "\r\nGoldcrestfall-Deadline: 5000\r\nContent-Length: 5\r\n\r\nhello");
      Http.Message m = Http.read(new BufferedInputStream(s.getInputStream()));
      status = m == null ? 0 : m.status();
    } catch (IOException e) {
      status = 0;
    }
    record.log("client: request %s on /%s/ to %s gets %s", id, route, router.name, status);
    return status;
  }
}
