package org.goldcrestfall.core.control;

import static org.goldcrestfall.core.common.ErrorKind.INVALID_PARAMETER;
import static org.goldcrestfall.core.common.ErrorKind.NOT_FOUND;
import static org.goldcrestfall.core.common.ErrorKind.PLAN_CONFLICT;

import java.util.HashSet;
import java.util.regex.Pattern;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.RequestFailure;

/** Checks of intents; a failure names what was expected in one sentence. */
final class IntentChecks {

  /**
   * Tokens that a budget may hold. Sums over a thousand accounts and products with prices in
   * thousandths stay within a long.
   */
  static final long MAX_TOKENS = 1_000_000_000_000_000L;

  private static final long MAX_PRICE_PER_MILLE = 1_000_000;
  private static final long MAX_DEADLINE_MILLIS = 86_400_000;
  private static final int MAX_PRIORITY = 100;
  private static final long MAX_LIMIT = 1_000_000_000;
  private static final int MAX_METHODS = 16;

  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
  private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern METHOD = Pattern.compile("[A-Z]{1,16}");
  private static final Pattern ACTION = Pattern.compile("[a-z][a-z0-9_]{0,62}");
  private static final Pattern MODEL = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}");

  private IntentChecks() {}

  /** Throws a {@link RequestFailure} if the intent is not valid in the current state. */
  static void check(
      Intent intent, ConfigBook config, BudgetBook budgets, OrderBook orders, HostBook hosts) {
    if (intent instanceof Intent.CreateWorkspace i) {
      name("the workspace name", i.name());
      expect(i.tradeoff() != null, "the trade-off must be STRICT or AVAILABLE");
      require(
          i.defaultClass() != null && config.view().classes().containsKey(i.defaultClass()),
          "there is no patience class " + i.defaultClass());
    } else if (intent instanceof Intent.CreateKey i) {
      workspace(i.workspace(), config);
      name("the key id", i.keyId());
      matches(SHA_256, i.keySha256(), "the key must be given as 64 lower-case hex digits");
      refuseIf(
          config.key(i.workspace(), i.keyId()) != null
              || config.view().keys().containsKey(i.keySha256()),
          PLAN_CONFLICT,
          "the key " + i.keyId() + " exists already");
    } else if (intent instanceof Intent.RevokeKey i) {
      workspace(i.workspace(), config);
      ConfigView.Key key = config.key(i.workspace(), i.keyId());
      require(key != null, "there is no key " + i.keyId() + " in " + i.workspace());
      refuseIf(key.revoked(), PLAN_CONFLICT, "the key " + i.keyId() + " is already revoked");
    } else if (intent instanceof Intent.TopUpBudget i) {
      workspace(i.workspace(), config);
      expect(i.tokens() > 0, "tokens must be positive");
      expect(
          i.tokens() <= MAX_TOKENS - budgets.find(i.workspace()).paidIn,
          "the budget must not exceed " + MAX_TOKENS + " tokens");
    } else if (intent instanceof Intent.SetPatienceClass i) {
      patienceClass(i);
    } else if (intent instanceof Intent.SetLimits i) {
      workspace(i.workspace(), config);
      range("requestsPerSecond", i.requestsPerSecond(), 0, MAX_LIMIT);
      range("concurrentRequests", i.concurrentRequests(), 0, MAX_LIMIT);
    } else if (intent instanceof Intent.SetKeyLimits i) {
      workspace(i.workspace(), config);
      require(
          config.key(i.workspace(), i.keyId()) != null,
          "there is no key " + i.keyId() + " in " + i.workspace());
      range("requestsPerSecond", i.requestsPerSecond(), 0, MAX_LIMIT);
      range("concurrentRequests", i.concurrentRequests(), 0, MAX_LIMIT);
    } else if (intent instanceof Intent.DefineService i) {
      service(i);
    } else if (intent instanceof Intent.ReleaseStranded i) {
      workspace(i.workspace(), config);
      require(
          i.incarnation() != null && hosts.isKnown(i.incarnation()),
          "the incarnation is not registered");
      Account a = budgets.find(i.workspace()).accounts.get(i.incarnation());
      refuseIf(a != null && a.releaseRequested, PLAN_CONFLICT, "the release was already confirmed");
    } else if (intent instanceof Intent.OrderEngine i) {
      name("the engine name", i.engine());
      matches(ACTION, i.action(), "the action must match " + ACTION);
      matches(MODEL, i.model(), "the model must match " + MODEL);
      refuseIf(
          orders.queuedCount() >= OrderBook.MAX_QUEUED,
          ErrorKind.OVERLOADED,
          "there are already " + OrderBook.MAX_QUEUED + " orders in the queue");
    } else {
      throw new RequestFailure(INVALID_PARAMETER, "the intent must not be empty");
    }
  }

  private static void patienceClass(Intent.SetPatienceClass i) {
    name("the class name", i.name());
    range("pricePerMille", i.pricePerMille(), 1, MAX_PRICE_PER_MILLE);
    range("deadlineMillis", i.deadlineMillis(), 1, MAX_DEADLINE_MILLIS);
    range("priority", i.priority(), 0, MAX_PRIORITY);
    range("reservedSharePerMille", i.reservedSharePerMille(), 0, 1000);
  }

  private static void service(Intent.DefineService i) {
    name("the service name", i.name());
    range("priceTokens", i.priceTokens(), 0, MAX_TOKENS);
    expect(i.idempotentMethods() != null, "idempotentMethods must be a list");
    expect(i.idempotentMethods().size() <= MAX_METHODS, "there are too many idempotent methods");
    for (String m : i.idempotentMethods()) {
      matches(METHOD, m, "an idempotent method must match " + METHOD);
    }
    expect(
        new HashSet<>(i.idempotentMethods()).size() == i.idempotentMethods().size(),
        "idempotentMethods must not repeat a method");
  }

  private static void workspace(String name, ConfigBook config) {
    require(
        name != null && config.view().workspaces().containsKey(name),
        "there is no workspace " + name);
  }

  private static void name(String what, String value) {
    matches(NAME, value, what + " must match " + NAME);
  }

  private static void matches(Pattern pattern, String value, String message) {
    expect(value != null && pattern.matcher(value).matches(), message);
  }

  private static void range(String what, long value, long min, long max) {
    expect(value >= min && value <= max, what + " must be " + min + " to " + max);
  }

  private static void expect(boolean condition, String message) {
    refuseIf(!condition, INVALID_PARAMETER, message);
  }

  private static void require(boolean condition, String message) {
    refuseIf(!condition, NOT_FOUND, message);
  }

  private static void refuseIf(boolean condition, ErrorKind kind, String message) {
    if (condition) {
      throw new RequestFailure(kind, message);
    }
  }
}
