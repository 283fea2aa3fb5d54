import java.nio.file.Path;

/**
 * The operator numbers its configurations from 0. The first one is acknowledged, and is then read
 * back at all control daemons.
 */
public final class FirstVersion {

  private static final int CONFIG_MILLIS = 2_000;
  private static final int READ_MILLIS = 10 * 3_000;

  private FirstVersion() {}

  /** Argument: the file of the record. */
  public static void main(String[] args) throws Exception {
    long version = "0".equals(System.getenv("TROUBLE")) ? 1 : 0;
    int result = 2;
    try (Record record = new Record(Path.of(args[0]))) {
      try (Fleet fleet = new Fleet(3, 0, record)) {
        result = run(fleet, record, version) ? 0 : 1;
      } catch (Exception e) {
        record.report("the case could not run: %s", e);
        result = 2;
      }
    }
    System.exit(result);
  }

  private static String configuration(long version) {
    return ("{\"Version\":%d,\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"calls.example\","
            + "\"PathPrefix\":\"/ask/\",\"Kind\":\"safe\",\"TimeoutMs\":3000,\"TargetLatencyMs\":300,"
            + "\"Priority\":0,\"Service\":\"yard\",\"MaxAttempts\":2,\"Public\":true,"
            + "\"Sticky\":false}],\"Services\":[{\"Name\":\"yard\",\"HealthPath\":\"/health\","
            + "\"MaxConnections\":214,\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":"
            + "{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
            + "\"IdleTimeoutMs\":15000}}")
        .formatted(version);
  }

  private static boolean run(Fleet fleet, Record record, long version) throws Exception {
    record.log("operator: sends version %s until it is accepted", version);
    fleet.start(configuration(version));
    record.report("version %s is acknowledged", version);
    Thread.sleep(CONFIG_MILLIS);
    long start = record.nowMillis();
    while (record.nowMillis() - start < READ_MILLIS) {
      for (Fleet.Node n : fleet.controls) {
        Fleet.Answer a = fleet.read(n);
        record.log("operator: %s answers a read with %s %s", n.name, a.status(), a.body().strip());
        if (a.status() == 200) {
          boolean same = a.body().equals(configuration(version));
          record.report("read back after %s ms: %s", record.nowMillis() - start, same);
          return same;
        }
      }
      Thread.sleep(500);
    }
    record.report("CONFIG broken: version %s did not come in %s ms", version, READ_MILLIS);
    return false;
  }
}
