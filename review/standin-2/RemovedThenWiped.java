import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A control machine is added, and after more than CatchUpS another one is removed for good. Then two
 * machines lose their disks at once, as many as may be lost, and are back after half a second.
 */
public final class RemovedThenWiped {

  private static final int CATCH_UP_MILLIS = 4_000;
  private static final int RECOVERY_MILLIS = 12_000;
  private static final int CONTACT_MILLIS = 3_000;

  /** The time from the end of the removed process to the loss of the two disks. */
  private static final int REMOVED_BEFORE_MILLIS = 400;

  private RemovedThenWiped() {}

  /** Argument: the file of the record. */
  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = 2;
    try (Record record = new Record(Path.of(args[0]))) {
      try (Fleet fleet = new Fleet(5, 0, record)) {
        result = run(fleet, record, trouble) ? 0 : 1;
      } catch (Exception e) {
        record.report("the case could not run: %s", e);
        result = 2;
      }
    }
    System.exit(result);
  }

  private static String configuration(long version) {
    return ("{\"Version\":%d,\"Routes\":[],\"Services\":[],\"Limits\":{\"MaxHeaderBytes\":16384,"
            + "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}")
        .formatted(version);
  }

  private static boolean run(Fleet fleet, Record record, boolean trouble) throws Exception {
    fleet.start(configuration(1));
    Thread.sleep(6_000);
    Fleet.Node added = fleet.addControl();
    added.start(false);
    Thread.sleep(CATCH_UP_MILLIS + 1_500);
    Fleet.Answer second = fleet.replace(configuration(2));
    record.report("version 2 is answered %s", second.status());
    if (second.status() != 200) {
      throw new IOException("version 2 is not acknowledged");
    }
    List<Fleet.Node> lost = new ArrayList<>();
    Fleet.Node removed = null;
    for (Fleet.Node n : fleet.controls) {
      if (n.isLeader()) {
        lost.add(n);
      }
    }
    for (Fleet.Node n : fleet.controls) {
      if (!lost.contains(n) && n != added && removed == null) {
        removed = n;
      } else if (!lost.contains(n) && n != added && lost.size() < 2) {
        lost.add(n);
      }
    }
    if (lost.size() != 2) {
      throw new IOException("no control daemon leads");
    }
    record.report(
        "%s is removed for good; %s leads, and loses its disk with %s",
        removed.name, lost.get(0).name, lost.get(1).name);
    removed.signal("TERM");
    removed.process.waitFor();
    record.log("platform: %s has ended", removed.name);
    fleet.controls.remove(removed);
    Thread.sleep(REMOVED_BEFORE_MILLIS);
    if (trouble) {
      for (Fleet.Node n : lost) {
        n.process.destroyForcibly();
      }
      for (Fleet.Node n : lost) {
        n.kill();
        n.wipe();
      }
      Thread.sleep(500);
      for (Fleet.Node n : lost) {
        n.start(false);
      }
    }
    Thread.sleep(RECOVERY_MILLIS);
    return readBack(fleet, record);
  }

  /** Reads the configuration back for many times ContactMs, until it comes. */
  private static boolean readBack(Fleet fleet, Record record) throws InterruptedException {
    long start = record.nowMillis();
    while (record.nowMillis() - start < 15 * CONTACT_MILLIS) {
      for (Fleet.Node n : fleet.controls) {
        Fleet.Answer a = fleet.read(n);
        record.log("operator: %s answers a read with %s %s", n.name, a.status(), a.body().strip());
        if (a.status() == 200) {
          boolean same = a.body().equals(configuration(2));
          record.report("read back after %s ms: %s", record.nowMillis() - start, same);
          return same;
        }
      }
      Thread.sleep(200);
    }
    record.report("CONFIG broken: version 2 did not come in %s ms", record.nowMillis() - start);
    return false;
  }
}
