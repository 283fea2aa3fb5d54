package org.goldcrestfall.daemon.control;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterTry;
import org.goldcrestfall.daemon.storage.FakeDisk;

/**
 * Guards against a group that never accepts a command again after the disks of its members were
 * full one after another, although all processes run.
 */
final class FullDisksTest {

  private static final int MEMBERS = 5;
  private static final int ROUNDS = 10;
  private static final int SNAPSHOT_ENTRIES = 25;
  private static final int COMMAND_BYTES = 40;
  private static final long COMMAND_TIMEOUT_MILLIS = 900;

  private final Map<String, FakeDisk> disks = new HashMap<>();
  private final List<CompletableFuture<byte[]>> replies = new ArrayList<>();
  private FakeHosts hosts;

  @AfterTry
  void close() {
    hosts.close();
  }

  private void start() throws IOException {
    replies.clear();
    hosts = FakeHosts.open(Files.createTempDirectory("full-disks"), MEMBERS, 3, SNAPSHOT_ENTRIES);
    for (int i = 0; i < MEMBERS; i++) {
      disks.put("h" + i, new FakeDisk());
      hosts.start("h" + i, disks.get("h" + i));
    }
    FakeHosts.await(() -> hosts.replica("h0").status().members().voters().count() == MEMBERS);
  }

  @Property(tries = 3, seed = "9301", shrinking = ShrinkingMode.OFF)
  void groupAcceptsCommandsAfterAllDisksWereFullInTurn(@ForAll long seed) throws Exception {
    start();
    Random random = new Random(seed);
    for (int i = 0; i < ROUNDS; i++) {
      String full = random.nextInt(3) == 0 ? hosts.awaitLeader() : "h" + random.nextInt(MEMBERS);
      disks.get(full).setRefusesWrites(true);
      submitFor(300 + random.nextInt(500), random);
      disks.get(full).setRefusesWrites(false);
      submitFor(random.nextInt(300), random);
    }
    FakeHosts.await(() -> replies.stream().allMatch(CompletableFuture::isDone));
    for (String host : disks.keySet()) {
      FakeHosts.submit(hosts.localClient(host), "x" + host);
      FakeHosts.await(() -> hosts.replica(host).status().isReady());
    }
    List<String> commands = new ArrayList<>();
    for (String host : disks.keySet()) {
      commands.add(FakeHosts.read(hosts.localClient(host)));
    }
    assertThat(Collections.frequency(commands, commands.get(0))).isEqualTo(MEMBERS);
  }

  /** Submits one command or more. */
  private void submitFor(long millis, Random random) throws Exception {
    long end = hosts.clock.nowMillis() + millis;
    do {
      String host = "h" + random.nextInt(MEMBERS);
      byte[] command = ("c" + random.nextInt(1_000_000)).repeat(COMMAND_BYTES / 7).getBytes(UTF_8);
      replies.add(hosts.localClient(host).submit(command, COMMAND_TIMEOUT_MILLIS));
      TimeUnit.MILLISECONDS.sleep(5);
    } while (hosts.clock.nowMillis() < end);
  }
}
