package org.goldcrestfall.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.goldcrestfall.core.membership.Member.Status;
import org.goldcrestfall.core.membership.MembershipEffect.Send;
import org.goldcrestfall.core.membership.MembershipMessage.Ack;
import org.goldcrestfall.core.membership.MembershipMessage.Ping;

class MembershipTest {

  private final Membership local = membership("a");

  private static Member member(String host, long boot, long counter, Status status) {
    return new Member(host, boot, counter, status, host + ":1", "z", 0);
  }

  private static Membership membership(String host) {
    return new Membership(member(host, 1, 0, Status.ALIVE), List.of(), 5, 0);
  }

  private static Ping ping(Member sender, Member... members) {
    return new Ping(1, new Gossip(sender, List.of(members), false, 0));
  }

  private static Member find(Membership m, String host) {
    return m.members().stream().filter(x -> x.host().equals(host)).findFirst().orElse(null);
  }

  private static List<Send> sends(List<MembershipEffect> effects) {
    List<Send> sends = new ArrayList<>();
    for (MembershipEffect e : effects) {
      if (e instanceof Send s) {
        sends.add(s);
      }
    }
    return sends;
  }

  // Guards against delayed records of an earlier boot or with a lower counter replacing newer ones.
  @Example
  void newerRecordsReplaceOlderOnes() {
    Member b = member("b", 2, 0, Status.ALIVE);
    local.receive(ping(b), 0);
    local.receive(ping(b, member("b", 1, 9, Status.DEAD)), 0);
    assertThat(find(local, "b")).isEqualTo(b);
    local.receive(ping(b, member("b", 2, 0, Status.SUSPECT)), 0);
    assertThat(find(local, "b").status()).isEqualTo(Status.SUSPECT);
    local.receive(ping(member("b", 2, 1, Status.ALIVE)), 0);
    assertThat(find(local, "b").status()).isEqualTo(Status.ALIVE);
    local.receive(ping(member("b", 2, 1, Status.DEAD)), 0);
    local.receive(ping(member("b", 3, 0, Status.ALIVE)), 0);
    assertThat(find(local, "b").incarnation().boot()).isEqualTo(3);
    assertThat(find(local, "b").live()).isTrue();
  }

  // Guards against a member that does not refute its own death, or refutes for a later boot.
  @Example
  void memberRefutesSuspicionsOfItsOwnIncarnationOnly() {
    Member b = member("b", 1, 0, Status.ALIVE);
    local.receive(ping(b, member("a", 1, 4, Status.DEAD)), 0);
    assertThat(local.self()).isEqualTo(member("a", 1, 5, Status.ALIVE));
    local.receive(ping(b, member("a", 2, 0, Status.SUSPECT)), 0);
    assertThat(local.self()).isEqualTo(member("a", 1, 5, Status.ALIVE));
    local.leave();
    local.receive(ping(b, member("a", 1, 5, Status.DEAD)), 0);
    assertThat(local.self().status()).isEqualTo(Status.LEFT);
  }

  // Guards against dead members that are kept forever, or that delayed records make live again.
  @Example
  void deadMembersAreDroppedAfterTheRetention() {
    Member b = member("b", 1, 0, Status.ALIVE);
    local.receive(ping(b, member("c", 1, 0, Status.ALIVE)), 0);
    local.receive(ping(b, member("c", 1, 0, Status.DEAD)), 10);
    local.receive(ping(b, member("c", 1, 0, Status.ALIVE)), 20);
    assertThat(find(local, "c").live()).isFalse();
    local.tick(MemberTable.RETENTION_MILLIS + 10);
    assertThat(find(local, "c")).isNull();
    local.receive(ping(b, member("c", 1, 0, Status.DEAD)), MemberTable.RETENTION_MILLIS + 20);
    assertThat(find(local, "c")).isNull();
  }

  // Guards against a change that never reaches some members because its messages were lost.
  @Example
  void differingDigestTriggersOneFullExchange() {
    Member b = member("b", 1, 0, Status.ALIVE);
    long dueMillis = Membership.FULL_EXCHANGE_INTERVAL_MILLIS;
    List<Send> sends =
        sends(local.receive(new Ping(1, new Gossip(b, List.of(), false, 77)), dueMillis));
    assertThat(sends).hasSize(1);
    assertThat(sends.get(0).address()).isEqualTo("b:1");
    assertThat(sends.get(0).message().gossip().full()).isTrue();
    assertThat(local.receive(new Ping(2, new Gossip(b, List.of(), false, 77)), dueMillis))
        .hasSize(1);
  }

  // Guards against accepting the acknowledgement of another member for that of the probed one.
  @Example
  void acknowledgementFromAnotherMemberDoesNotConfirmTheProbedOne() {
    Member b = member("b", 1, 0, Status.ALIVE);
    local.receive(ping(b), 0);
    long number = 0;
    for (long t = 0; t < 1000 && number == 0; t += 100) {
      for (Send s : sends(local.tick(t))) {
        number = s.message().number();
      }
    }
    Member c = member("c", 1, 0, Status.ALIVE);
    local.receive(new Ack(number, true, new Gossip(c, List.of(), false, 0)), 1000);
    for (long t = 1000; t < 2200; t += 100) {
      local.tick(t);
    }
    assertThat(find(local, "b").status()).isEqualTo(Status.SUSPECT);
  }

  // Guards against a process that declares suspected members dead as soon as it resumes.
  @Example
  void processPauseDoesNotExpireSuspicions() {
    Member b = member("b", 1, 0, Status.ALIVE);
    local.receive(ping(b, member("c", 1, 0, Status.SUSPECT)), 0);
    local.tick(100);
    local.tick(60_000);
    assertThat(find(local, "c").status()).isEqualTo(Status.SUSPECT);
    for (long t = 60_100; t < 64_000; t += 100) {
      local.tick(t);
    }
    assertThat(find(local, "c").status()).isEqualTo(Status.DEAD);
  }
}
