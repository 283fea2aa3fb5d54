package org.goldcrestfall.standin.engine;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Orders to the engine. Where the engine checks fencing numbers, an older number is refused. */
final class OrderHandler {

  /** The answer to an order. */
  record Result(boolean accepted, String detail) {}

  private final boolean checksFencing;
  private final Set<String> models;
  private final Map<String, Result> results = new LinkedHashMap<>();
  private String role = "mixed";
  private long highestFencingNumber;

  OrderHandler(boolean checksFencing, List<String> models) {
    this.checksFencing = checksFencing;
    this.models = new LinkedHashSet<>(models);
  }

  /** Carries out an order once; the same order id gives the first result. */
  synchronized Result apply(String orderId, long fencing, String action, String model) {
    if (checksFencing && fencing < highestFencingNumber) {
      return new Result(
          false, "fencing number " + fencing + " is older than " + highestFencingNumber);
    }
    highestFencingNumber = Math.max(highestFencingNumber, fencing);
    Result known = results.get(orderId);
    if (known != null) {
      return known;
    }
    Result result = execute(action, model);
    results.put(orderId, result);
    return result;
  }

  synchronized List<String> models() {
    return List.copyOf(models);
  }

  synchronized long highestFencingNumber() {
    return highestFencingNumber;
  }

  private Result execute(String action, String model) {
    switch (action) {
      case "load", "load_model", "load_adapter", "load_version" -> models.add(model);
      case "unload", "unload_model" -> models.remove(model);
      case "role", "change_role" -> role = model;
      default -> {
        return new Result(false, "unknown action " + action);
      }
    }
    return new Result(true, action + " " + model + " done, role " + role);
  }
}
