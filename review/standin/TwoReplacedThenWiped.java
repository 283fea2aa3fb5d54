import java.nio.file.Path;
import java.util.List;

/**
 * Two core machines are replaced as planned, half a second apart: each successor starts CatchUpS
 * before its machine is stopped. Long after that, two other core machines lose their disks, which
 * is what the deployment must bear. The configuration acknowledged in between must be read back.
 */
public final class TwoReplacedThenWiped {

  private static final long CATCH_UP_MILLIS = 4_000;
  private static final long RECOVERY_MILLIS = 12_000;

  /** Several times CatchUpS, after which the removed machines no longer count. */
  private static final long SETTLING_MILLIS = 15_000;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (Recorder record = new Recorder(Path.of(args[1]));
        Fleet fleet = new Fleet(Path.of(args[0]), record)) {
      exit = run(fleet, record, trouble);
    }
    System.exit(exit);
  }

  private static String document(int version) {
    return "{\"Version\":" + version + ",\"Routes\":[{\"Name\":\"r\",\"Host\":\"h.example\","
        + "\"PathPrefix\":\"/a/\",\"Kind\":\"safe\",\"TimeoutMs\":2000,\"Service\":\"s\"}],"
        + "\"Services\":[{\"Name\":\"s\",\"HealthPath\":\"/health\",\"MaxConnections\":100}],"
        + "\"Limits\":{}}";
  }

  private static int run(Fleet fleet, Recorder record, boolean trouble) throws Exception {
    String[] zones = {"zone-a", "zone-b", "zone-c", "zone-a", "zone-b"};
    for (int i = 0; i < zones.length; i++) {
      fleet.add("core-" + (i + 1), zones[i], "control");
    }
    for (Fleet.Node n : fleet.controls()) {
      n.start(true);
    }
    if (!fleet.configure(document(1), 30_000)) {
      return 2;
    }
    // All five machines join; the bench gives a fleet 15 s before traffic starts.
    Thread.sleep(12_000);
    List<Fleet.Node> first = List.copyOf(fleet.controls());
    List<Fleet.Node> removed = List.of(first.get(3), first.get(4));
    for (Fleet.Node n : removed) {
      fleet.add("core-" + (fleet.controls().size() + 1), n.zone, "control").start(false);
      Thread.sleep(500);
    }
    Thread.sleep(CATCH_UP_MILLIS - 500);
    for (Fleet.Node n : removed) {
      n.signal("TERM");
      n.awaitExit(8_000);
      fleet.nodes.remove(n);
      Thread.sleep(500);
    }
    Thread.sleep(SETTLING_MILLIS);
    if (!fleet.configure(document(2), 10_000)) {
      return 2;
    }
    if (trouble) {
      List<Fleet.Node> wiped = first.subList(1, 3);
      for (Fleet.Node n : wiped) {
        n.kill();
        n.wipeDisk();
      }
      Thread.sleep(1_500);
      for (Fleet.Node n : wiped) {
        n.start(false);
      }
    }
    long back = record.millis();
    Thread.sleep(CATCH_UP_MILLIS + RECOVERY_MILLIS);
    // The operator reads repeatedly for longer than ContactMs, at every control daemon.
    boolean current = false;
    while (!current && record.millis() < back + CATCH_UP_MILLIS + RECOVERY_MILLIS + 20_000) {
      for (Fleet.Node n : fleet.controls()) {
        String text = fleet.read(n);
        record.log(
            "operator: reads at %s: %s", n.name, text == null ? "no configuration" : text.strip());
        if (text != null && !text.equals(document(2))) {
          record.log("RULE BROKEN: CONFIG, an older configuration is read back");
          return 1;
        }
        current |= text != null;
      }
      Thread.sleep(1_000);
    }
    if (!current) {
      record.log(
          "RULE BROKEN: CONFIG, the configuration acknowledged as version 2 isn't read back %d ms"
              + " after all machines were back",
          record.millis() - back);
      fleet.configure(document(3), 4_000);
      return 1;
    }
    record.log("the configuration was read back");
    return 0;
  }
}
