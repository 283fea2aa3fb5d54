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
 * A JSON object of the settings file with its path. Reads typed values and collects all errors, so
 * that one run reports every invalid setting. An invalid value is replaced by a placeholder.
 */
final class SettingsNode {

  private static final int MAX_VALUE_CHARS = 60;

  private final String path;
  private final JsonNode node;
  private final List<String> errors;
  private final Set<String> knownKeys = new HashSet<>();

  SettingsNode(String path, JsonNode node, List<String> errors) {
    this.path = path;
    this.node = node;
    this.errors = errors;
  }

  String requiredText(String key, Pattern pattern, String expected) {
    JsonNode v = readValue(key);
    if (v.isTextual() && pattern.matcher(v.textValue()).matches()) {
      return v.textValue();
    }
    addError(key, v, expected);
    return "";
  }

  String optionalText(String key, Pattern pattern, String expected, String defaultValue) {
    return has(key) ? requiredText(key, pattern, expected) : defaultValue;
  }

  int intValue(String key, int min, int max, int defaultValue) {
    return (int) longValue(key, min, max, defaultValue);
  }

  /** Returns a whole number; the key is required if {@code defaultValue} is below {@code min}. */
  long longValue(String key, long min, long max, long defaultValue) {
    JsonNode v = readValue(key);
    if (v.isMissingNode() && defaultValue >= min) {
      return defaultValue;
    }
    if (v.isIntegralNumber() && v.canConvertToLong()) {
      long n = v.longValue();
      if (n >= min && n <= max) {
        return n;
      }
    }
    addError(key, v, "a whole number from " + min + " to " + max);
    return min;
  }

  SettingsNode requiredObject(String key) {
    JsonNode v = readValue(key);
    if (!v.isObject()) {
      addError(key, v, "an object");
      // Errors of its keys would only repeat this one, so they are discarded.
      return new SettingsNode(childPath(key), MissingNode.getInstance(), new ArrayList<>());
    }
    return new SettingsNode(childPath(key), v, errors);
  }

  /** Returns an object whose keys all have defaults; an absent key gives an empty object. */
  SettingsNode optionalObject(String key) {
    if (has(key)) {
      return requiredObject(key);
    }
    readValue(key);
    return new SettingsNode(childPath(key), MissingNode.getInstance(), errors);
  }

  List<String> textList(String key, Pattern pattern, String expected) {
    List<String> out = new ArrayList<>();
    JsonNode v = readValue(key);
    if (v.isMissingNode()) {
      return out;
    }
    if (!v.isArray()) {
      addError(key, v, "a list, each " + expected);
      return out;
    }
    for (int i = 0; i < v.size(); i++) {
      JsonNode e = v.get(i);
      if (e.isTextual() && pattern.matcher(e.textValue()).matches()) {
        out.add(e.textValue());
      } else {
        addError(key + "[" + i + "]", e, expected);
      }
    }
    return out;
  }

  <T> List<T> objectList(String key, Function<SettingsNode, T> reader) {
    List<T> out = new ArrayList<>();
    JsonNode v = readValue(key);
    if (v.isMissingNode()) {
      return out;
    }
    if (!v.isArray()) {
      addError(key, v, "a list of objects");
      return out;
    }
    for (int i = 0; i < v.size(); i++) {
      if (v.get(i).isObject()) {
        out.add(reader.apply(new SettingsNode(childPath(key) + "[" + i + "]", v.get(i), errors)));
      } else {
        addError(key + "[" + i + "]", v.get(i), "an object");
      }
    }
    return out;
  }

  boolean has(String key) {
    return node.has(key);
  }

  /** Returns whether any error was found so far, here or elsewhere in the file. */
  boolean hasErrors() {
    return !errors.isEmpty();
  }

  /** Adds an error for the value at {@code key}. */
  void reject(String key, String expected) {
    addError(key, node.path(key), expected);
  }

  /** Adds an error for each key that was not read. */
  void rejectUnknownKeys() {
    for (Iterator<String> it = node.fieldNames(); it.hasNext(); ) {
      String key = it.next();
      if (!knownKeys.contains(key)) {
        List<String> names = knownKeys.stream().sorted().toList();
        addError(key, node.get(key), "no such key; known keys are " + String.join(", ", names));
      }
    }
  }

  private JsonNode readValue(String key) {
    knownKeys.add(key);
    return node.path(key);
  }

  private String childPath(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  private void addError(String key, JsonNode v, String expected) {
    String shown = v.isMissingNode() ? "missing" : v.toString();
    // The shared key of the cluster is a secret.
    if (key.equals("key") && v.isTextual()) {
      shown = "(not shown)";
    }
    if (shown.length() > MAX_VALUE_CHARS) {
      shown = shown.substring(0, MAX_VALUE_CHARS) + "...";
    }
    errors.add(childPath(key) + ": " + shown + ", expected " + expected);
  }
}
