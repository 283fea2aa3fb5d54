package org.goldcrestfall.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import net.jqwik.api.Example;

/** Guards against a daemon that starts with invalid settings, and against unclear error reports. */
final class SettingsReaderTest {

  private static final String VALID =
      """
      {"host": "a1", "zone": "zone-a", "roles": ["router", "control"],
       "http": {"address": "127.0.0.1", "port": 8080},
       "peer": {"address": "127.0.0.1", "port": 9080, "key": "0123456789abcdef"},
       "seeds": ["127.0.0.1:9080"],
       "controlMembers": [{"host": "a1", "address": "127.0.0.1:9080"}],
       "dataFolder": "data",
       "operators": [],
       "upstreamKeySha256": "%s"}
      """
          .formatted("0".repeat(64));

  private static ObjectNode validSettings() throws Exception {
    return (ObjectNode) new JsonMapper().readTree(VALID);
  }

  private static SettingsException parseError(ObjectNode n) {
    return catchThrowableOfType(SettingsException.class, () -> SettingsReader.parse(n));
  }

  @Example
  void validSettingsAreReadWithDefaults() throws Exception {
    Settings s = SettingsReader.parse(validSettings());
    assertThat(s.has(Role.CONTROL)).isTrue();
    assertThat(s.limits().maxBodyBytes()).isEqualTo(1 << 20);
    assertThat(s.drain().notReadyMillis()).isEqualTo(2_000);
  }

  @Example
  void unknownKeyIsReportedWithItsPath() throws Exception {
    ObjectNode n = validSettings();
    ((ObjectNode) n.get("http")).put("prot", 1);
    assertThat(parseError(n).errors())
        .singleElement()
        .asString()
        .startsWith("http.prot: 1, expected");
  }

  @Example
  void allErrorsAreReportedTogether() throws Exception {
    ObjectNode n = validSettings();
    n.put("host", "Not A Host");
    n.remove("dataFolder");
    ((ObjectNode) n.get("http")).put("port", 70_000);
    ((ObjectNode) n.get("peer")).put("port", "nine");
    assertThat(parseError(n).errors())
        .hasSize(4)
        .anyMatch(f -> f.startsWith("host: \"Not A Host\", expected"))
        .anyMatch(f -> f.startsWith("http.port: 70000, expected a whole number from 1 to 65535"))
        .anyMatch(f -> f.startsWith("peer.port: \"nine\", expected"))
        .anyMatch(f -> f.startsWith("dataFolder: missing, expected"));
  }

  @Example
  void sharedKeyIsNotShownInErrors() throws Exception {
    ObjectNode n = validSettings();
    ((ObjectNode) n.get("peer")).put("key", "secret");
    assertThat(parseError(n).errors().toString()).doesNotContain("secret").contains("peer.key");
  }

  @Example
  void missingFileIsReported() {
    SettingsException e =
        catchThrowableOfType(
            SettingsException.class, () -> SettingsReader.read(Path.of("no-such-file.json")));
    assertThat(e.errors())
        .containsExactly("no-such-file.json: missing, expected a readable JSON file");
  }
}
