package org.goldcrestfall.core.consensus;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import net.jqwik.api.Example;

/** Guards against member lists that one build writes and another one reads as something else. */
class MembersTest {

  private static final Members LIST =
      Members.of(
          List.of(
              new Member("a#1", "a", "10.0.0.1:7340", true),
              new Member("b#2", "b", "10.0.0.2:7340", false)));

  private static final String FIRST_VERSION =
      "a#1\ta\t10.0.0.1:7340\tvoter\nb#2\tb\t10.0.0.2:7340\tlearner\n";

  @Example
  void listOfTheFirstVersionIsReadAndWrittenAsBefore() {
    assertThat(Members.fromBytes(FIRST_VERSION.getBytes(UTF_8))).isEqualTo(LIST);
    assertThat(new String(LIST.toBytes(), UTF_8)).isEqualTo(FIRST_VERSION);
  }

  @Example
  void listOfLaterVersionRoundTrips() {
    Members list = LIST.withProtocol(ProtocolVersion.JOINT_CHANGES);
    assertThat(Members.fromBytes(list.toBytes())).isEqualTo(list);
    assertThat(list.without("a#1").withVoter("b#2").protocol()).isEqualTo(list.protocol());
  }

  @Example
  void listOfNewerBuildIsRefusedWithBothVersions() {
    byte[] newer = LIST.withProtocol(ProtocolVersion.NEWEST + 1).toBytes();
    assertThatThrownBy(() -> Members.fromBytes(newer))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("version " + (ProtocolVersion.NEWEST + 1))
        .hasMessageContaining("up to " + ProtocolVersion.NEWEST);
  }
}
