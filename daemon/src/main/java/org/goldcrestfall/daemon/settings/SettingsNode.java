package org.goldcrestfall.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * A JSON object of the settings with its path. Reads typed values and collects every fault, so that
 * one check reports all of them.
 */
final class SettingsNode {

  private static final int MAX_SHOWN_CHARS = 60;

  private final String path;
  private final JsonNode node;
  private final List<String> faults;
  private final Set<String> known = new HashSet<>();

  SettingsNode(String path, JsonNode node, List<String> faults) {
    this.path = path;
    this.node = node;
    this.faults = faults;
  }

  String requiredText(String key, Pattern form, String expected) {
    JsonNode v = value(key);
    if (v.isTextual() && form.matcher(v.textValue()).matches()) {
      return v.textValue();
    }
    fault(key, v, expected);
    return "";
  }

  String optionalText(String key, Pattern form, String expected, String absent) {
    return has(key) ? requiredText(key, form, expected) : absent;
  }

  int integer(String key, int min, int max, int absent) {
    return (int) number(key, min, max, absent);
  }

  long number(String key, long min, long max, long absent) {
    JsonNode v = value(key);
    if (v.isMissingNode() && absent >= min) {
      return absent;
    }
    if (v.isIntegralNumber() && v.canConvertToLong()) {
      long n = v.longValue();
      if (n >= min && n <= max) {
        return n;
      }
    }
    fault(key, v, "a whole number from " + min + " to " + max);
    return min;
  }

  SettingsNode object(String key) {
    JsonNode v = value(key);
    if (!v.isObject()) {
      fault(key, v, "an object");
      return new SettingsNode(child(key), MissingNode.getInstance(), new ArrayList<>());
    }
    return new SettingsNode(child(key), v, faults);
  }

  /** Returns an object whose keys all have defaults; an absent key gives an empty object. */
  SettingsNode optionalObject(String key) {
    if (has(key)) {
      return object(key);
    }
    value(key);
    return new SettingsNode(child(key), MissingNode.getInstance(), faults);
  }

  List<String> texts(String key, Pattern form, String expected) {
    List<String> out = new ArrayList<>();
    JsonNode v = value(key);
    if (v.isMissingNode()) {
      return out;
    }
    if (!v.isArray()) {
      fault(key, v, "a list, each " + expected);
      return out;
    }
    for (int i = 0; i < v.size(); i++) {
      JsonNode e = v.get(i);
      if (e.isTextual() && form.matcher(e.textValue()).matches()) {
        out.add(e.textValue());
      } else {
        fault(key + "[" + i + "]", e, expected);
      }
    }
    return out;
  }

  <T> List<T> objects(String key, Function<SettingsNode, T> reader) {
    List<T> out = new ArrayList<>();
    JsonNode v = value(key);
    if (v.isMissingNode()) {
      return out;
    }
    if (!v.isArray()) {
      fault(key, v, "a list of objects");
      return out;
    }
    for (int i = 0; i < v.size(); i++) {
      if (v.get(i).isObject()) {
        out.add(reader.apply(new SettingsNode(child(key) + "[" + i + "]", v.get(i), faults)));
      } else {
        fault(key + "[" + i + "]", v.get(i), "an object");
      }
    }
    return out;
  }

  boolean has(String key) {
    return node.has(key);
  }

  /** Returns whether any fault was found so far, here or elsewhere in the file. */
  boolean hasFaults() {
    return !faults.isEmpty();
  }

  /** Reports a fault of the value at {@code key}. */
  void reject(String key, String expected) {
    fault(key, node.path(key), expected);
  }

  /** Reports every key that was not read. */
  void finish() {
    for (Iterator<String> it = node.fieldNames(); it.hasNext(); ) {
      String key = it.next();
      if (!known.contains(key)) {
        List<String> names = known.stream().sorted().toList();
        fault(key, node.get(key), "no such key; known keys are " + String.join(", ", names));
      }
    }
  }

  private JsonNode value(String key) {
    known.add(key);
    return node.path(key);
  }

  private String child(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  private void fault(String key, JsonNode v, String expected) {
    String shown = v.isMissingNode() ? "missing" : v.toString();
    if (key.equals("key") && v.isTextual()) {
      shown = "(not shown)";
    }
    if (shown.length() > MAX_SHOWN_CHARS) {
      shown = shown.substring(0, MAX_SHOWN_CHARS) + "...";
    }
    faults.add(child(key) + ": " + shown + ", expected " + expected);
  }
}
