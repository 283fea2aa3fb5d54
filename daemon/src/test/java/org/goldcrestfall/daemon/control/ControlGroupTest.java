package org.goldcrestfall.daemon.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.goldcrestfall.core.consensus.Member;

/**
 * Guards against faults in the interaction of consensus core, disk and network: runs complete
 * members on real data folders and a fake network.
 */
class ControlGroupTest {

  private FakeHosts hosts;

  private FakeHosts start(int count, int snapshotEntries) throws Exception {
    Path folder = Files.createTempDirectory("control-group");
    hosts = new FakeHosts(folder, count, snapshotEntries);
    hosts.startAll();
    return hosts;
  }

  @AfterTry
  void close() {
    if (hosts != null) {
      hosts.close();
    }
  }

  @Example
  void threeMembersCommitAndRead() throws Exception {
    start(3, 1_000);
    ControlClient client = hosts.client();
    assertThat(FakeHosts.submit(client, "a")).isEqualTo("0");
    assertThat(FakeHosts.submit(client, "b")).isEqualTo("1");
    assertThat(FakeHosts.read(client)).isEqualTo("a,b");
  }

  @Example
  void singleMemberKeepsItsLogAfterRestart() throws Exception {
    start(1, 3);
    ControlClient client = hosts.client();
    for (int i = 0; i < 10; i++) {
      FakeHosts.submit(client, "c" + i);
    }
    hosts.stop("h0");
    hosts.start("h0");
    assertThat(FakeHosts.read(client)).isEqualTo("c0,c1,c2,c3,c4,c5,c6,c7,c8,c9");
  }

  @Example
  void killedLeaderIsReplacedWithoutLossOfCommands() throws Exception {
    start(3, 1_000);
    ControlClient client = hosts.client();
    List<String> sent = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      FakeHosts.submit(client, "c" + i);
      sent.add("c" + i);
      String leader = hosts.awaitLeader();
      hosts.stop(leader);
      assertThat(FakeHosts.read(client)).isEqualTo(String.join(",", sent));
      hosts.start(leader);
    }
  }

  @Example
  void hostWithLostDiskRejoinsWithNewIdAndReceivesAllCommands() throws Exception {
    start(3, 5);
    ControlClient client = hosts.client();
    List<String> sent = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      FakeHosts.submit(client, "c" + i);
      sent.add("c" + i);
    }
    for (String host : List.of("h0", "h1", "h2")) {
      final String oldId = hosts.replica(host).status().memberId();
      hosts.stop(host);
      hosts.loseDisk(host);
      hosts.start(host);
      FakeHosts.await(() -> isOnlyMemberOfHostAndVoter(host));
      assertThat(hosts.replica(host).status().memberId()).isNotEqualTo(oldId);
      FakeHosts.submit(client, "after " + host);
      sent.add("after " + host);
    }
    assertThat(FakeHosts.read(client)).isEqualTo(String.join(",", sent));
  }

  private boolean isOnlyMemberOfHostAndVoter(String host) {
    ControlStatus status = hosts.replica(host).status();
    List<Member> own = status.members().all().stream().filter(m -> m.host().equals(host)).toList();
    return own.size() == 1 && own.get(0).id().equals(status.memberId()) && status.isVoter();
  }
}
