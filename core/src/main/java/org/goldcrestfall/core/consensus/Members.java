package org.goldcrestfall.core.consensus;

import static com.google.common.base.Preconditions.checkArgument;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The member list of a group; immutable.
 *
 * @param protocol the {@link ProtocolVersion} that the group runs
 */
public record Members(ImmutableList<Member> all, int protocol) {

  /** The list of a host that has not received a member list yet. */
  public static final Members NONE = of(ImmutableList.of());

  private static final String PROTOCOL_FIELD = "protocol";

  /** Creates the member list of a new group, which runs the first version of the protocol. */
  public static Members of(List<Member> members) {
    return new Members(ImmutableList.copyOf(members), ProtocolVersion.SINGLE_CHANGES);
  }

  /**
   * Parses the format of {@link #toBytes}.
   *
   * @throws IllegalArgumentException if the format is invalid or a newer build wrote the list
   */
  public static Members fromBytes(byte[] bytes) {
    ImmutableList.Builder<Member> members = ImmutableList.builder();
    int protocol = ProtocolVersion.SINGLE_CHANGES;
    for (String line : Splitter.on('\n').omitEmptyStrings().split(new String(bytes, UTF_8))) {
      List<String> fields = Splitter.on('\t').splitToList(line);
      if (fields.size() == 2 && fields.get(0).equals(PROTOCOL_FIELD)) {
        protocol = Integer.parseInt(fields.get(1));
        checkArgument(
            protocol <= ProtocolVersion.NEWEST,
            "the group runs version %s of the consensus protocol, this build supports up to %s",
            protocol,
            ProtocolVersion.NEWEST);
        continue;
      }
      checkArgument(fields.size() == 4, "member must have 4 fields separated by tabs: %s", line);
      members.add(
          new Member(fields.get(0), fields.get(1), fields.get(2), fields.get(3).equals("voter")));
    }
    return new Members(members.build(), protocol);
  }

  /**
   * Returns one line for each member: id, host, address and voter or learner, separated by tabs.
   * Before them, a line names the protocol version unless it is the first one, whose lists have no
   * such line. Builds that know only the first version refuse lists with that line.
   */
  public byte[] toBytes() {
    StringBuilder text = new StringBuilder();
    if (protocol > ProtocolVersion.SINGLE_CHANGES) {
      text.append(PROTOCOL_FIELD).append('\t').append(protocol).append('\n');
    }
    for (Member m : all) {
      text.append(m.id()).append('\t').append(m.host()).append('\t').append(m.address());
      text.append('\t').append(m.voter() ? "voter" : "learner").append('\n');
    }
    return text.toString().getBytes(UTF_8);
  }

  /** Returns the member with an id. */
  public Optional<Member> find(String id) {
    return all.stream().filter(m -> m.id().equals(id)).findFirst();
  }

  /** Returns whether the member with an id exists and has a vote. */
  public boolean isVoter(String id) {
    return find(id).map(Member::voter).orElse(false);
  }

  /** Returns the members with a vote. */
  public Stream<Member> voters() {
    return all.stream().filter(Member::voter);
  }

  /** Returns the list with a learner added, which replaces any other learner on its host. */
  public Members withLearner(Member learner) {
    ImmutableList.Builder<Member> members = ImmutableList.builder();
    for (Member m : all) {
      if (m.voter() || !m.host().equals(learner.host())) {
        members.add(m);
      }
    }
    return with(members.add(learner.withVoter(false)).build());
  }

  /** Returns the list with another protocol version. */
  public Members withProtocol(int version) {
    return new Members(all, version);
  }

  private Members with(List<Member> members) {
    return new Members(ImmutableList.copyOf(members), protocol);
  }

  /** Returns the list with a learner promoted to a voter. */
  public Members withVoter(String id) {
    return with(all.stream().map(m -> m.id().equals(id) ? m.withVoter(true) : m).toList());
  }

  /** Returns the list without a member. */
  public Members without(String id) {
    return with(all.stream().filter(m -> !m.id().equals(id)).toList());
  }

  /** Returns the ids for a log line; those of learners are in parentheses. */
  @Override
  public String toString() {
    return all.stream()
        .map(m -> m.voter() ? m.id() : "(" + m.id() + ")")
        .collect(Collectors.joining(" ", "[", "]"));
  }
}
