package org.goldcrestfall.core.control;

import java.util.List;
import java.util.function.ObjLongConsumer;
import java.util.stream.Collectors;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.control.ConfigView.Key;
import org.goldcrestfall.core.control.ConfigView.PatienceClass;
import org.goldcrestfall.core.control.ConfigView.Service;
import org.goldcrestfall.core.control.ConfigView.Workspace;

/**
 * Previews and executes the changes of an intent. The JSON texts consist only of validated names,
 * numbers and enum constants, so no value needs escaping.
 */
final class IntentEffects {

  private final ConfigHistory config;
  private final BudgetTable budgets;
  private final OrderTable orders;
  private final HostTable hosts;
  private final ObjLongConsumer<Incarnation> incarnationCloser;

  IntentEffects(
      ConfigHistory config,
      BudgetTable budgets,
      OrderTable orders,
      HostTable hosts,
      ObjLongConsumer<Incarnation> incarnationCloser) {
    this.hosts = hosts;
    this.incarnationCloser = incarnationCloser;
    this.config = config;
    this.budgets = budgets;
    this.orders = orders;
  }

  /**
   * Checks that the intent is valid in the current state.
   *
   * @throws RequestFailure if it is not
   */
  void check(Intent intent) {
    IntentChecks.check(intent, config, budgets, orders, hosts);
  }

  /** Returns the change that the intent would make to the current state. */
  Change preview(Intent intent) {
    if (intent instanceof Intent.CreateWorkspace i) {
      Workspace before = config.view().workspaces().get(i.name());
      return change("workspace/" + i.name(), toJson(before), toJson(workspace(i, before)));
    }
    if (intent instanceof Intent.SetLimits i) {
      Workspace before = config.view().workspaces().get(i.workspace());
      return change("workspace/" + i.workspace(), toJson(before), toJson(withLimits(i, before)));
    }
    if (intent instanceof Intent.CreateKey i) {
      return change(keyPath(i.workspace(), i.keyId()), null, toJson(key(i)));
    }
    if (intent instanceof Intent.RevokeKey i) {
      Key before = config.findKey(i.workspace(), i.keyId());
      return change(keyPath(i.workspace(), i.keyId()), toJson(before), toJson(revokedKey(before)));
    }
    if (intent instanceof Intent.SetKeyLimits i) {
      Key before = config.findKey(i.workspace(), i.keyId());
      String after = toJson(withKeyLimits(i, before));
      return change(keyPath(i.workspace(), i.keyId()), toJson(before), after);
    }
    if (intent instanceof Intent.TopUpBudget i) {
      long paidIn = budgets.find(i.workspace()).paidIn;
      return change("budget/" + i.workspace(), paidInJson(paidIn), paidInJson(paidIn + i.tokens()));
    }
    if (intent instanceof Intent.SetPatienceClass i) {
      PatienceClass before = config.view().classes().get(i.name());
      return change("class/" + i.name(), toJson(before), toJson(patienceClass(i)));
    }
    if (intent instanceof Intent.DefineService i) {
      Service before = config.view().services().get(i.name());
      return change("service/" + i.name(), toJson(before), toJson(service(i)));
    }
    if (intent instanceof Intent.ReleaseStranded i) {
      return change(
          "stranded/" + i.workspace() + "/" + i.incarnation(),
          "{\"releaseRequested\":false}",
          "{\"releaseRequested\":true}");
    }
    Intent.OrderEngine i = (Intent.OrderEngine) intent;
    String order = String.format("{\"action\":\"%s\",\"model\":\"%s\"}", i.action(), i.model());
    return change("engine/" + i.engine(), null, order);
  }

  /** Executes a valid intent at a log index. */
  void execute(Intent intent, long index, long atMillis) {
    if (intent instanceof Intent.CreateWorkspace i) {
      config.put(index, workspace(i, config.view().workspaces().get(i.name())));
      budgets.create(i.name());
    } else if (intent instanceof Intent.SetLimits i) {
      config.put(index, withLimits(i, config.view().workspaces().get(i.workspace())));
    } else if (intent instanceof Intent.CreateKey i) {
      config.put(index, key(i));
    } else if (intent instanceof Intent.RevokeKey i) {
      config.put(index, revokedKey(config.findKey(i.workspace(), i.keyId())));
    } else if (intent instanceof Intent.SetKeyLimits i) {
      config.put(index, withKeyLimits(i, config.findKey(i.workspace(), i.keyId())));
    } else if (intent instanceof Intent.TopUpBudget i) {
      budgets.topUp(i.workspace(), i.tokens());
    } else if (intent instanceof Intent.SetPatienceClass i) {
      config.put(index, patienceClass(i));
    } else if (intent instanceof Intent.DefineService i) {
      config.put(index, service(i));
    } else if (intent instanceof Intent.ReleaseStranded i) {
      incarnationCloser.accept(i.incarnation(), index);
      budgets.requestRelease(i.workspace(), i.incarnation());
    } else if (intent instanceof Intent.OrderEngine i) {
      orders.enqueue(index, i, atMillis);
    }
  }

  private Change change(String object, String before, String after) {
    return new Change(object, before, after, config.revision(object));
  }

  private static Workspace workspace(Intent.CreateWorkspace i, Workspace before) {
    return before == null
        ? new Workspace(i.name(), i.defaultClass(), i.tradeoff(), 0, 0)
        : new Workspace(
            i.name(),
            i.defaultClass(),
            i.tradeoff(),
            before.requestsPerSecond(),
            before.concurrentRequests());
  }

  private static Workspace withLimits(Intent.SetLimits i, Workspace before) {
    return new Workspace(
        before.name(),
        before.defaultClass(),
        before.tradeoff(),
        i.requestsPerSecond(),
        i.concurrentRequests());
  }

  private static Key key(Intent.CreateKey i) {
    return new Key(i.keySha256(), i.keyId(), i.workspace(), false, 0, 0);
  }

  private static Key revokedKey(Key k) {
    return new Key(
        k.sha256(), k.keyId(), k.workspace(), true, k.requestsPerSecond(), k.concurrentRequests());
  }

  private static Key withKeyLimits(Intent.SetKeyLimits i, Key k) {
    return new Key(
        k.sha256(),
        k.keyId(),
        k.workspace(),
        k.revoked(),
        i.requestsPerSecond(),
        i.concurrentRequests());
  }

  private static PatienceClass patienceClass(Intent.SetPatienceClass i) {
    return new PatienceClass(
        i.name(), i.pricePerMille(), i.deadlineMillis(), i.priority(), i.reservedSharePerMille());
  }

  private static Service service(Intent.DefineService i) {
    return new Service(i.name(), i.priceTokens(), i.idempotentMethods());
  }

  private static String keyPath(String workspace, String keyId) {
    return "key/" + workspace + "/" + keyId;
  }

  private static String paidInJson(long tokens) {
    return String.format("{\"paidIn\":%d}", tokens);
  }

  private static String toJson(Workspace w) {
    return w == null
        ? null
        : String.format(
            "{\"defaultClass\":\"%s\",\"tradeoff\":\"%s\",\"requestsPerSecond\":%d,"
                + "\"concurrentRequests\":%d}",
            w.defaultClass(), w.tradeoff(), w.requestsPerSecond(), w.concurrentRequests());
  }

  private static String toJson(Key k) {
    return String.format(
        "{\"sha256\":\"%s\",\"revoked\":%b,"
            + "\"requestsPerSecond\":%d,\"concurrentRequests\":%d}",
        k.sha256(), k.revoked(), k.requestsPerSecond(), k.concurrentRequests());
  }

  private static String toJson(PatienceClass c) {
    return c == null
        ? null
        : String.format(
            "{\"pricePerMille\":%d,\"deadlineMillis\":%d,\"priority\":%d,"
                + "\"reservedSharePerMille\":%d}",
            c.pricePerMille(), c.deadlineMillis(), c.priority(), c.reservedSharePerMille());
  }

  private static String toJson(Service s) {
    if (s == null) {
      return null;
    }
    List<String> methods = s.idempotentMethods();
    return String.format(
        "{\"priceTokens\":%d,\"idempotentMethods\":[%s]}",
        s.priceTokens(), methods.stream().map(m -> '"' + m + '"').collect(Collectors.joining(",")));
  }
}
