package org.goldcrestfall.standin.engine;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Executes the orders of the control plane: loading and unloading of models and change of the role.
 * If fencing numbers are checked, an order with a lower number than an earlier one is refused.
 */
final class OrderHandler {

  /** The result of an order; {@code detail} is sent in the response. */
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

  /** Executes an order once; a repeated order id returns the result of the first execution. */
  synchronized Result apply(String orderId, long fencingNumber, String action, String model) {
    if (checksFencing && fencingNumber < highestFencingNumber) {
      return new Result(
          false, "fencing number " + fencingNumber + " is older than " + highestFencingNumber);
    }
    highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
    Result previous = results.get(orderId);
    if (previous != null) {
      return previous;
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
