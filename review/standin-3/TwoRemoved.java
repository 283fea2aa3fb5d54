import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Two of five control machines are replaced as planned. With the disruption, two others lose their
 * disks soon after the two have ended.
 */
final class TwoRemoved {

  private static final int CONTROLS = 5;

  /** CatchUpS, and two seconds more. */
  private static final int CATCH_UP_MILLIS = 6_000;

  private static final int BETWEEN_STOPS_MILLIS = 300;
  private static final int GRACE_MILLIS = 8_000;
  private static final int UNTIL_LOSS_MILLIS = 200;
  private static final int DOWN_MILLIS = 500;

  /** Three times RecoveryS. */
  private static final int LOOK_MILLIS = 36_000;

  private static final int READ_INTERVAL_MILLIS = 200;

  private static final String CONFIGURATION =
      """
      {"Version":%d,"Routes":[{"Name":"r-1","Host":"ficu95.example","PathPrefix":"/lohu930/",
      "Kind":"safe","TimeoutMs":4000,"TargetLatencyMs":300,"Priority":2,"Service":"wuno96b",
      "MaxAttempts":2,"Public":true,"Sticky":false,"Resumable":false}],"Services":[
      {"Name":"wuno96b","HealthPath":"/health","MaxConnections":257,"Protocol":"h1","Tls":false}]}
      """;

  private TwoRemoved() {}

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]).toRealPath();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1])), true)) {
      try {
        exit = run(root, trouble, record);
      } catch (Exception e) {
        // An exit with 1 would say that the rule was broken.
        record.println("the case could not run: " + e);
      }
      record.println("exit " + exit);
    }
    System.exit(exit);
  }

  private static int run(Path root, boolean trouble, PrintWriter record) throws Exception {
    record.println("disruption: " + trouble);
    try (Fleet fleet = new Fleet(root, CONTROLS, 0)) {
      if (!fleet.configure(CONFIGURATION.formatted(1))) {
        record.println("version 1 was not acknowledged");
        return 2;
      }
      Thread.sleep(CATCH_UP_MILLIS);
      for (int i = 0; i < 2; i++) {
        record.println(fleet.addControl().name + " is added with an empty disk");
      }
      Thread.sleep(CATCH_UP_MILLIS);
      if (!fleet.configure(CONFIGURATION.formatted(2))) {
        record.println("version 2 was not acknowledged");
        return 2;
      }
      record.println("version 2 is acknowledged");
      List<Fleet.Node> removed = List.copyOf(fleet.controls.subList(0, 2));
      for (Fleet.Node node : removed) {
        node.signal("TERM");
        record.println(node.name + " gets SIGTERM and is removed");
        Thread.sleep(BETWEEN_STOPS_MILLIS);
      }
      for (Fleet.Node node : removed) {
        if (!node.awaitEnd(GRACE_MILLIS)) {
          node.kill();
        }
        fleet.controls.remove(node);
      }
      if (trouble) {
        Thread.sleep(UNTIL_LOSS_MILLIS);
        loseDisks(fleet.controls.subList(0, 2), record);
      }
      return read(fleet, record);
    }
  }

  private static void loseDisks(List<Fleet.Node> nodes, PrintWriter record) throws Exception {
    for (Fleet.Node node : nodes) {
      node.kill();
      node.loseDisk();
      record.println(node.name + " loses its disk");
    }
    Thread.sleep(DOWN_MILLIS);
    for (Fleet.Node node : nodes) {
      node.start(false);
    }
  }

  /** Reads the configuration at all daemons until one answers, or for the whole time. */
  private static int read(Fleet fleet, PrintWriter record) throws InterruptedException {
    long start = System.nanoTime();
    int reads = 0;
    while (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(LOOK_MILLIS)) {
      for (Fleet.Node node : fleet.controls) {
        Fleet.Answer answer = Fleet.call(node.operators(), "GET", "/-/config/read", "");
        reads++;
        if (answer.status() == 200) {
          long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
          boolean newest = answer.body().contains("\"Version\":2");
          record.println("read after " + millis + " ms: version 2 is " + newest);
          return newest ? 0 : 1;
        }
      }
      Thread.sleep(READ_INTERVAL_MILLIS);
    }
    record.println("none of " + reads + " reads in " + LOOK_MILLIS + " ms was answered 200");
    return 1;
  }
}
