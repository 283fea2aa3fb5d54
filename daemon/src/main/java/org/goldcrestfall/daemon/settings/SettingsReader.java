package org.goldcrestfall.daemon.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/** Reads and validates a settings file. Unknown and duplicate keys are refused. */
public final class SettingsReader {

  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
  private static final String NAME_FORMAT = "1 to 63 of a-z, 0-9 and -, not starting with -";
  private static final Pattern IP_ADDRESS =
      Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-fA-F:]*:.*");
  private static final Pattern ENDPOINT =
      Pattern.compile("([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}");
  private static final String ENDPOINT_FORMAT = "an IP address and port such as 10.0.0.1:9080";
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final String SHA256_FORMAT = "a SHA-256 as 64 lower-case hex digits";
  private static final Pattern PEER_KEY = Pattern.compile(".{16,256}");
  private static final Pattern NON_EMPTY = Pattern.compile(".+");
  private static final int MAX_PORT = 65_535;
  private static final int MEBIBYTE = 1 << 20;
  private static final int MAX_CONTROL_MEMBERS = 19;

  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private SettingsReader() {}

  /**
   * Reads and validates the file.
   *
   * @throws SettingsException if the file cannot be read or is invalid, with all errors found
   */
  public static Settings read(Path file) throws SettingsException {
    if (!Files.isRegularFile(file)) {
      throw new SettingsException(List.of(file + ": missing, expected a readable JSON file"));
    }
    try {
      return parse(MAPPER.readTree(file.toFile()));
    } catch (JsonProcessingException e) {
      var location = e.getLocation();
      String position =
          location == null
              ? ""
              : " line " + location.getLineNr() + " column " + location.getColumnNr();
      throw new SettingsException(
          List.of(file + position + ": " + e.getOriginalMessage() + ", expected one JSON object"));
    } catch (IOException e) {
      throw new SettingsException(
          List.of(file + ": " + e.getMessage() + ", expected a readable JSON file"));
    }
  }

  static Settings parse(JsonNode json) throws SettingsException {
    List<String> errors = new ArrayList<>();
    if (!json.isObject()) {
      throw new SettingsException(List.of("settings: expected one JSON object"));
    }
    SettingsNode root = new SettingsNode("", json, errors);
    Set<Role> roles = roles(root);
    Settings s =
        new Settings(
            root.requiredText("host", NAME, NAME_FORMAT),
            root.requiredText("zone", NAME, NAME_FORMAT),
            root.optionalText("cluster", NAME, NAME_FORMAT, "goldcrestfall"),
            roles,
            http(root.requiredObject("http")),
            peer(root.requiredObject("peer")),
            root.textList("seeds", ENDPOINT, ENDPOINT_FORMAT),
            root.objectList("controlMembers", SettingsReader::controlMember),
            dataFolder(root),
            root.objectList("operators", SettingsReader::operator),
            root.requiredText("upstreamKeySha256", SHA256, SHA256_FORMAT),
            log(root.optionalObject("log")),
            limits(root.optionalObject("limits")),
            drain(root.optionalObject("drain")),
            orders(root.optionalObject("orders")));
    checkConsistency(s, root);
    root.rejectUnknownKeys();
    if (!errors.isEmpty()) {
      throw new SettingsException(errors);
    }
    return s;
  }

  private static Set<Role> roles(SettingsNode root) {
    Set<Role> roles = EnumSet.noneOf(Role.class);
    Pattern pattern = Pattern.compile("router|control");
    for (String text : root.textList("roles", pattern, "\"router\" or \"control\"")) {
      roles.add(text.equals(Role.ROUTER.settingName()) ? Role.ROUTER : Role.CONTROL);
    }
    if (roles.isEmpty()) {
      root.reject("roles", "a list with \"router\", \"control\" or both");
    }
    return roles;
  }

  private static Settings.Http http(SettingsNode n) {
    Settings.Http http =
        new Settings.Http(n.requiredText("address", IP_ADDRESS, "an IP address"), port(n));
    n.rejectUnknownKeys();
    return http;
  }

  private static Settings.Peer peer(SettingsNode n) {
    Settings.Peer peer =
        new Settings.Peer(
            n.requiredText("address", IP_ADDRESS, "an IP address"),
            port(n),
            n.requiredText("key", PEER_KEY, "a shared key of 16 to 256 characters"));
    n.rejectUnknownKeys();
    return peer;
  }

  private static int port(SettingsNode n) {
    return n.intValue("port", 1, MAX_PORT, 0);
  }

  private static Settings.ControlMember controlMember(SettingsNode n) {
    Settings.ControlMember m =
        new Settings.ControlMember(
            n.requiredText("host", NAME, NAME_FORMAT),
            n.requiredText("address", ENDPOINT, ENDPOINT_FORMAT));
    n.rejectUnknownKeys();
    return m;
  }

  private static Settings.Operator operator(SettingsNode n) {
    Settings.Operator o =
        new Settings.Operator(
            n.requiredText("name", NAME, NAME_FORMAT),
            n.requiredText("tokenSha256", SHA256, SHA256_FORMAT));
    n.rejectUnknownKeys();
    return o;
  }

  private static Optional<Path> dataFolder(SettingsNode root) {
    String text = root.optionalText("dataFolder", NON_EMPTY, "a path", "");
    return text.isEmpty() ? Optional.empty() : Optional.of(Path.of(text));
  }

  private static Settings.Log log(SettingsNode n) {
    Pattern formats = Pattern.compile("text|json");
    Pattern levels = Pattern.compile("SEVERE|WARNING|INFO|FINE|FINER|FINEST");
    Settings.Log log =
        new Settings.Log(
            n.optionalText("format", formats, "\"text\" or \"json\"", "text"),
            n.optionalText(
                "level", levels, "one of SEVERE, WARNING, INFO, FINE, FINER, FINEST", "INFO"));
    n.rejectUnknownKeys();
    return log;
  }

  private static Settings.Limits limits(SettingsNode n) {
    Settings.Limits limits =
        new Settings.Limits(
            n.intValue("maxBodyBytes", 1024, 64 * MEBIBYTE, MEBIBYTE),
            n.intValue("maxHeaderBytes", 1024, MEBIBYTE, 16_384),
            n.intValue("maxQueuedRequests", 1, 1_000_000, 512),
            n.intValue("maxQueuedBytes", 1024, Integer.MAX_VALUE, 16 * MEBIBYTE),
            n.intValue("maxOutputTokens", 1, 10_000_000, 32_768),
            n.intValue("defaultOutputTokens", 1, 10_000_000, 512),
            n.intValue("maxConnections", 1, 1_000_000, 4_096));
    n.rejectUnknownKeys();
    return limits;
  }

  private static Settings.Drain drain(SettingsNode n) {
    Settings.Drain drain =
        new Settings.Drain(
            n.longValue("notReadyMillis", 0, 600_000, 2_000),
            n.longValue("maxMillis", 0, 86_400_000, 600_000));
    n.rejectUnknownKeys();
    return drain;
  }

  private static Settings.Orders orders(SettingsNode n) {
    Settings.Orders orders =
        new Settings.Orders(
            n.longValue("timeoutMillis", 100, 3_600_000, 30_000),
            n.intValue("weightLoadsPerMinute", 1, 10_000, 6));
    n.rejectUnknownKeys();
    return orders;
  }

  /** Checks settings that depend on each other. */
  private static void checkConsistency(Settings s, SettingsNode root) {
    if (s.has(Role.CONTROL) && s.dataFolder().isEmpty()) {
      root.reject("dataFolder", "a path, because the role control keeps a log");
    }
    if (s.controlMembers().isEmpty() || s.controlMembers().size() > MAX_CONTROL_MEMBERS) {
      root.reject("controlMembers", "1 to " + MAX_CONTROL_MEMBERS + " members");
    }
    Set<String> hosts = new HashSet<>();
    Set<String> addresses = new HashSet<>();
    for (Settings.ControlMember m : s.controlMembers()) {
      if (!hosts.add(m.host()) || !addresses.add(m.address())) {
        root.reject("controlMembers", "every host and address once");
      }
    }
    if (!root.hasErrors()
        && s.http().port() == s.peer().port()
        && s.http().address().equals(s.peer().address())) {
      root.reject("peer", "another port than http.port at the same address");
    }
    if (s.limits().defaultOutputTokens() > s.limits().maxOutputTokens()) {
      root.reject("limits", "defaultOutputTokens not above maxOutputTokens");
    }
  }
}
