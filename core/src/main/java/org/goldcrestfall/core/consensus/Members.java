package org.goldcrestfall.core.consensus;

import static com.google.common.base.Preconditions.checkArgument;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The member list of a group; immutable. */
public record Members(ImmutableList<Member> all) {

  /** The list of a host that has not received a member list yet. */
  public static final Members NONE = new Members(ImmutableList.of());

  /** Creates a member list. */
  public static Members of(List<Member> members) {
    return new Members(ImmutableList.copyOf(members));
  }

  /** Parses the format of {@link #toBytes}. */
  public static Members fromBytes(byte[] bytes) {
    ImmutableList.Builder<Member> members = ImmutableList.builder();
    for (String line : Splitter.on('\n').omitEmptyStrings().split(new String(bytes, UTF_8))) {
      List<String> fields = Splitter.on('\t').splitToList(line);
      checkArgument(fields.size() == 4, "member must have 4 fields separated by tabs: %s", line);
      members.add(
          new Member(fields.get(0), fields.get(1), fields.get(2), fields.get(3).equals("voter")));
    }
    return new Members(members.build());
  }

  /**
   * Returns one line for each member: id, host, address and voter or learner, separated by tabs.
   */
  public byte[] toBytes() {
    StringBuilder text = new StringBuilder();
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
    return new Members(members.add(learner.withVoter(false)).build());
  }

  /** Returns the list with a learner promoted to a voter. */
  public Members withVoter(String id) {
    return of(all.stream().map(m -> m.id().equals(id) ? m.withVoter(true) : m).toList());
  }

  /** Returns the list without a member. */
  public Members without(String id) {
    return of(all.stream().filter(m -> !m.id().equals(id)).toList());
  }

  /** Returns the ids for a log line; those of learners are in parentheses. */
  @Override
  public String toString() {
    return all.stream()
        .map(m -> m.voter() ? m.id() : "(" + m.id() + ")")
        .collect(Collectors.joining(" ", "[", "]"));
  }
}
