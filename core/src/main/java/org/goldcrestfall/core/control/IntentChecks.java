package org.goldcrestfall.core.control;

import static org.goldcrestfall.core.common.ErrorKind.INVALID_PARAMETER;
import static org.goldcrestfall.core.common.ErrorKind.NOT_FOUND;
import static org.goldcrestfall.core.common.ErrorKind.PLAN_CONFLICT;

import java.util.HashSet;
import java.util.regex.Pattern;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.RequestFailure;

/** Validates intents against the current state. The error messages are meant for operators. */
final class IntentChecks {

  /**
   * The maximum number of tokens in a budget. Sums over a thousand accounts and products with
   * prices in thousandths do not overflow a long.
   */
  static final long MAX_TOKENS = 1_000_000_000_000_000L;

  private static final long MAX_PRICE_PER_MILLE = 1_000_000;
  private static final long MAX_DEADLINE_MILLIS = 86_400_000;
  private static final int MAX_PRIORITY = 100;
  // The highest rate limit, in requests per second, and the highest concurrency limit.
  private static final long MAX_LIMIT = 1_000_000_000;
  private static final int MAX_IDEMPOTENT_METHODS = 16;

  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
  private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern METHOD = Pattern.compile("[A-Z]{1,16}");
  private static final Pattern ACTION = Pattern.compile("[a-z][a-z0-9_]{0,62}");
  private static final Pattern MODEL = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}");

  private IntentChecks() {}

  /**
   * Checks that the intent is valid in the current state.
   *
   * @throws RequestFailure with kind {@code INVALID_PARAMETER}, {@code NOT_FOUND}, {@code
   *     PLAN_CONFLICT} or {@code OVERLOADED} if it is not
   */
  static void check(
      Intent intent,
      ConfigHistory config,
      BudgetTable budgets,
      OrderTable orders,
      HostTable hosts) {
    if (intent instanceof Intent.CreateWorkspace i) {
      checkName("the workspace name", i.name());
      checkParameter(i.tradeoff() != null, "the trade-off must be STRICT or AVAILABLE");
      checkFound(
          i.defaultClass() != null && config.view().classes().containsKey(i.defaultClass()),
          "there is no patience class " + i.defaultClass());
    } else if (intent instanceof Intent.CreateKey i) {
      checkWorkspaceExists(i.workspace(), config);
      checkName("the key id", i.keyId());
      checkMatches(SHA_256, i.keySha256(), "the key must be given as 64 lower-case hex digits");
      refuseIf(
          config.findKey(i.workspace(), i.keyId()) != null
              || config.view().keys().containsKey(i.keySha256()),
          PLAN_CONFLICT,
          "the key " + i.keyId() + " exists already");
    } else if (intent instanceof Intent.RevokeKey i) {
      checkWorkspaceExists(i.workspace(), config);
      ConfigView.Key key = config.findKey(i.workspace(), i.keyId());
      checkFound(key != null, "there is no key " + i.keyId() + " in " + i.workspace());
      refuseIf(key.revoked(), PLAN_CONFLICT, "the key " + i.keyId() + " is already revoked");
    } else if (intent instanceof Intent.TopUpBudget i) {
      checkWorkspaceExists(i.workspace(), config);
      checkParameter(i.tokens() > 0, "tokens must be positive");
      checkParameter(
          i.tokens() <= MAX_TOKENS - budgets.find(i.workspace()).paidIn,
          "the budget must not exceed " + MAX_TOKENS + " tokens");
    } else if (intent instanceof Intent.SetPatienceClass i) {
      checkPatienceClass(i);
    } else if (intent instanceof Intent.SetLimits i) {
      checkWorkspaceExists(i.workspace(), config);
      checkRange("requestsPerSecond", i.requestsPerSecond(), 0, MAX_LIMIT);
      checkRange("concurrentRequests", i.concurrentRequests(), 0, MAX_LIMIT);
    } else if (intent instanceof Intent.SetKeyLimits i) {
      checkWorkspaceExists(i.workspace(), config);
      checkFound(
          config.findKey(i.workspace(), i.keyId()) != null,
          "there is no key " + i.keyId() + " in " + i.workspace());
      checkRange("requestsPerSecond", i.requestsPerSecond(), 0, MAX_LIMIT);
      checkRange("concurrentRequests", i.concurrentRequests(), 0, MAX_LIMIT);
    } else if (intent instanceof Intent.DefineService i) {
      checkService(i);
    } else if (intent instanceof Intent.ReleaseStranded i) {
      checkWorkspaceExists(i.workspace(), config);
      checkFound(
          i.incarnation() != null && hosts.isKnown(i.incarnation()),
          "the incarnation is not registered");
      Account a = budgets.find(i.workspace()).accounts.get(i.incarnation());
      refuseIf(a != null && a.releaseRequested, PLAN_CONFLICT, "the release was already confirmed");
    } else if (intent instanceof Intent.OrderEngine i) {
      checkName("the engine name", i.engine());
      checkMatches(ACTION, i.action(), "the action must match " + ACTION);
      checkMatches(MODEL, i.model(), "the model must match " + MODEL);
      refuseIf(
          orders.queuedCount() >= OrderTable.MAX_QUEUED_ORDERS,
          ErrorKind.OVERLOADED,
          "there are already " + OrderTable.MAX_QUEUED_ORDERS + " orders in the queue");
    } else {
      throw new RequestFailure(INVALID_PARAMETER, "the intent must not be empty");
    }
  }

  private static void checkPatienceClass(Intent.SetPatienceClass i) {
    checkName("the class name", i.name());
    checkRange("pricePerMille", i.pricePerMille(), 1, MAX_PRICE_PER_MILLE);
    checkRange("deadlineMillis", i.deadlineMillis(), 1, MAX_DEADLINE_MILLIS);
    checkRange("priority", i.priority(), 0, MAX_PRIORITY);
    checkRange("reservedSharePerMille", i.reservedSharePerMille(), 0, 1000);
  }

  private static void checkService(Intent.DefineService i) {
    checkName("the service name", i.name());
    checkRange("priceTokens", i.priceTokens(), 0, MAX_TOKENS);
    checkParameter(i.idempotentMethods() != null, "idempotentMethods must be a list");
    checkParameter(
        i.idempotentMethods().size() <= MAX_IDEMPOTENT_METHODS,
        "there are too many idempotent methods");
    for (String m : i.idempotentMethods()) {
      checkMatches(METHOD, m, "an idempotent method must match " + METHOD);
    }
    checkParameter(
        new HashSet<>(i.idempotentMethods()).size() == i.idempotentMethods().size(),
        "idempotentMethods must not repeat a method");
  }

  private static void checkWorkspaceExists(String name, ConfigHistory config) {
    checkFound(
        name != null && config.view().workspaces().containsKey(name),
        "there is no workspace " + name);
  }

  private static void checkName(String what, String value) {
    checkMatches(NAME, value, what + " must match " + NAME);
  }

  private static void checkMatches(Pattern pattern, String value, String message) {
    checkParameter(value != null && pattern.matcher(value).matches(), message);
  }

  private static void checkRange(String what, long value, long min, long max) {
    checkParameter(value >= min && value <= max, what + " must be " + min + " to " + max);
  }

  private static void checkParameter(boolean condition, String message) {
    refuseIf(!condition, INVALID_PARAMETER, message);
  }

  private static void checkFound(boolean condition, String message) {
    refuseIf(!condition, NOT_FOUND, message);
  }

  private static void refuseIf(boolean condition, ErrorKind kind, String message) {
    if (condition) {
      throw new RequestFailure(kind, message);
    }
  }
}
