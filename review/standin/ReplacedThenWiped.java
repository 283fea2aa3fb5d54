import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The core machine that leads is replaced as planned: its successor starts first. CatchUpS after
 * the removal, two other core machines lose their disks, one of which leads by then; that is what
 * the deployment must bear. The configuration acknowledged in between must be read back.
 */
public final class ReplacedThenWiped {

  private static final long CATCH_UP_MILLIS = 4_000;
  private static final long RECOVERY_MILLIS = 12_000;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (Recorder record = new Recorder(Path.of(args[1]));
        Fleet fleet = new Fleet(Path.of(args[0]), record)) {
      exit = run(fleet, record, trouble);
    }
    System.exit(exit);
  }

  /** Returns the machine that led last, by the logs; only to choose which machine is replaced. */
  private static Fleet.Node leader(List<Fleet.Node> nodes) throws Exception {
    Fleet.Node leader = null;
    for (Fleet.Node n : nodes) {
      String log = Files.readString(n.folder.resolve("log"));
      if (log.lastIndexOf(" is LEADER in term") > log.lastIndexOf(" is FOLLOWER in term")) {
        leader = n;
      }
    }
    return leader;
  }

  /** Returns the machine that leads and one other. */
  private static List<Fleet.Node> lostMachines(List<Fleet.Node> nodes) throws Exception {
    List<Fleet.Node> lost = new ArrayList<>(nodes);
    Fleet.Node leader = leader(nodes);
    lost.remove(leader);
    lost.add(0, leader == null ? lost.remove(0) : leader);
    return lost.subList(0, 2);
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
    Fleet.Node successor = fleet.add("core-6", "zone-b", "control");
    successor.start(false);
    Thread.sleep(CATCH_UP_MILLIS);
    Fleet.Node removed = leader(first);
    if (removed == null) {
      record.log("no leader was found in the logs");
      return 2;
    }
    removed.signal("TERM");
    removed.awaitExit(8_000);
    final long removedAt = record.millis();
    fleet.nodes.remove(removed);
    if (!fleet.configure(document(2), 10_000)) {
      return 2;
    }
    Thread.sleep(Math.max(0, removedAt + CATCH_UP_MILLIS - record.millis()));
    if (trouble) {
      List<Fleet.Node> wiped = lostMachines(fleet.controls());
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
