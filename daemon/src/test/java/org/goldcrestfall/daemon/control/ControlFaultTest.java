package org.goldcrestfall.daemon.control;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.daemon.storage.FakeDisk;

/** Tests members and clients under disk and network faults. */
class ControlFaultTest {

  private static final long CALL_TIMEOUT_MILLIS = 600;

  private final Map<String, FakeDisk> disks = new HashMap<>();
  private FakeHosts hosts;

  private void start(int count) throws Exception {
    hosts = new FakeHosts(Files.createTempDirectory("control-fault"), count, 1_000);
    hosts.startAll();
  }

  private void startOnFakeDisks(int count) throws Exception {
    hosts = new FakeHosts(Files.createTempDirectory("control-fault"), count, 1_000);
    for (int i = 0; i < count; i++) {
      disks.put("h" + i, new FakeDisk());
      hosts.start("h" + i, disks.get("h" + i));
    }
  }

  @AfterTry
  void close() {
    if (hosts != null) {
      hosts.close();
    }
  }

  private static Throwable failure(CompletableFuture<byte[]> reply) {
    Throwable failure = catchThrowable(() -> reply.get(30, TimeUnit.SECONDS));
    return failure.getCause();
  }

  /** Guards against votes and acknowledgements based on a log with a damaged record. */
  @Example
  void memberWithDamagedLogQuarantinesItAndRejoins() throws Exception {
    start(3);
    ControlClient client = hosts.client();
    for (int i = 0; i < 10; i++) {
      FakeHosts.submit(client, "c" + i);
    }
    hosts.stop("h1");
    final String oldId = idOnDisk("h1");
    try (Stream<Path> files = Files.list(hosts.folderOf("h1"))) {
      Path segment =
          files.filter(p -> p.getFileName().toString().startsWith("log-")).findFirst().get();
      try (RandomAccessFile file = new RandomAccessFile(segment.toFile(), "rw")) {
        file.seek(40);
        file.write(0x7f);
      }
    }
    hosts.start("h1");
    FakeHosts.await(
        () -> hosts.replica("h1").status().isVoter() && hosts.replica("h1").status().isReady());
    assertThat(hosts.replica("h1").status().memberId()).isNotEqualTo(oldId);
    try (Stream<Path> files = Files.list(hosts.folderOf("h1"))) {
      assertThat(files.map(p -> p.getFileName().toString())).contains("damaged-1-identity");
    }
    hosts.stop("h0");
    assertThat(FakeHosts.read(client)).isEqualTo("c0,c1,c2,c3,c4,c5,c6,c7,c8,c9");
  }

  private String idOnDisk(String host) throws Exception {
    byte[] bytes = Files.readAllBytes(hosts.folderOf(host).resolve("identity"));
    return new String(bytes, 4, bytes.length - 4, UTF_8);
  }

  /** Guards against acknowledging a command that could not be written to a full disk. */
  @Example
  void onlyMemberStopsCommittingWhileItsDiskIsFull() throws Exception {
    startOnFakeDisks(1);
    ControlClient client = hosts.client();
    FakeHosts.submit(client, "before");
    disks.get("h0").setCapacity(disks.get("h0").usedBytes());
    assertThat(failure(client.submit("during".getBytes(UTF_8), CALL_TIMEOUT_MILLIS)))
        .isInstanceOf(UnknownOutcomeException.class);
    ControlStatus status = hosts.replica("h0").status();
    assertThat(status.writable()).isFalse();
    assertThat(status.isReady()).isFalse();
    assertThat(status.diskFault()).contains("No space left");
    assertThat(failure(client.submit("refused".getBytes(UTF_8), CALL_TIMEOUT_MILLIS)))
        .isInstanceOf(RequestFailure.class);
    disks.get("h0").setCapacity(Long.MAX_VALUE);
    FakeHosts.submit(client, "after");
    assertThat(FakeHosts.read(client)).startsWith("before").endsWith("after");
    assertThat(FakeHosts.read(client)).doesNotContain("refused");
    assertThat(hosts.replica("h0").status().isReady()).isTrue();
  }

  private void checkWritesGoOnAfter(Throwable failure) throws Exception {
    startOnFakeDisks(1);
    ControlClient client = hosts.client();
    FakeHosts.submit(client, "before");
    disks.get("h0").failNextWrite(failure);
    FakeHosts.submit(client, "after");
    FakeHosts.await(() -> hosts.replica("h0").status().isReady());
    assertThat(FakeHosts.read(client)).isEqualTo("before,after");
  }

  /** Guards against a member that runs, but never writes again after an error. */
  @Example
  void writesGoOnAfterMemoryRanOut() throws Exception {
    checkWritesGoOnAfter(new OutOfMemoryError("Cannot reserve direct buffer memory"));
  }

  /** Guards against a member that stays read-only after a fault without a description. */
  @Example
  void writesGoOnAfterFaultWithoutMessage() throws Exception {
    checkWritesGoOnAfter(new IOException(""));
  }

  /** Guards against a group that stops committing because the leader's disk is full. */
  @Example
  void leaderWithFullDiskIsReplaced() throws Exception {
    startOnFakeDisks(3);
    ControlClient client = hosts.client();
    FakeHosts.submit(client, "before");
    String leader = hosts.awaitLeader();
    disks.get(leader).setCapacity(disks.get(leader).usedBytes());
    FakeHosts.submit(client, "during");
    FakeHosts.await(() -> !hosts.isLeader(leader));
    FakeHosts.submit(client, "after");
    disks.get(leader).setCapacity(Long.MAX_VALUE);
    FakeHosts.await(() -> hosts.replica(leader).status().isReady());
    assertThat(FakeHosts.read(client)).isEqualTo("before,during,after");
  }

  /** Guards against reporting a command as not executed although it may have been committed. */
  @Example
  void lostReplyIsReportedAsUnknownOutcome() throws Exception {
    start(3);
    ControlClient client = hosts.client();
    FakeHosts.submit(client, "a");
    hosts.network.setDropsControlReplies(true);
    assertThat(failure(client.submit("b".getBytes(UTF_8), CALL_TIMEOUT_MILLIS)))
        .isInstanceOf(UnknownOutcomeException.class);
    hosts.network.setDropsControlReplies(false);
    assertThat(FakeHosts.read(client)).isEqualTo("a,b");
    assertThat(FakeHosts.submit(client, "b")).isEqualTo("1");
  }

  /** Guards against executing a command later that was reported as not executed. */
  @Example
  void commandWithoutReachableMemberFailsWithNoQuorum() throws Exception {
    start(3);
    ControlClient client = hosts.client();
    FakeHosts.submit(client, "a");
    List.of("h0", "h1", "h2").forEach(h -> hosts.network.isolate(hosts.address(h)));
    Throwable failure = failure(client.submit("b".getBytes(UTF_8), CALL_TIMEOUT_MILLIS));
    assertThat(failure).isInstanceOf(RequestFailure.class);
    assertThat(((RequestFailure) failure).kind()).isEqualTo(ErrorKind.NO_QUORUM);
    hosts.network.heal();
    assertThat(FakeHosts.read(client)).isEqualTo("a");
  }

  /** Guards against an entry that does not fit into a frame and so blocks the replication. */
  @Example
  void commandTooLargeForFrameIsRejected() throws Exception {
    start(3);
    ControlClient client = hosts.client();
    byte[] large = new byte[ControlReplica.MAX_COMMAND_BYTES + 1];
    Throwable failure = failure(client.submit(large, CALL_TIMEOUT_MILLIS));
    assertThat(((RequestFailure) failure).kind()).isEqualTo(ErrorKind.BODY_TOO_LARGE);
    Throwable direct = failure(hosts.replica(hosts.awaitLeader()).submit(large));
    assertThat(((RequestFailure) direct).kind()).isEqualTo(ErrorKind.BODY_TOO_LARGE);
    assertThat(FakeHosts.submit(client, "a")).isEqualTo("0");
  }

  /** Guards against an isolated leader that answers local queries from outdated state. */
  @Example
  void isolatedLeaderFailsQueriesAndReportsUnknownOutcome() throws Exception {
    start(3);
    ControlClient remote = hosts.client();
    FakeHosts.submit(remote, "a");
    String leader = hosts.awaitLeader();
    ControlClient local = hosts.localClient(leader);
    assertThat(FakeHosts.read(local)).isEqualTo("a");
    hosts.network.isolate(hosts.address(leader));
    assertThat(failure(local.submit("b".getBytes(UTF_8), CALL_TIMEOUT_MILLIS)))
        .isInstanceOf(UnknownOutcomeException.class);
    FakeHosts.submit(remote, "c");
    assertThat(failure(local.query(new byte[0], CALL_TIMEOUT_MILLIS)))
        .isInstanceOf(RequestFailure.class);
    assertThat(hosts.replica(leader).isLeaderWithLease(hosts.clock.nowMillis())).isFalse();
    hosts.network.heal();
    assertThat(FakeHosts.read(local)).isIn("a,c", "a,c,b");
  }
}
