package org.goldcrestfall.core.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.goldcrestfall.core.common.Incarnation;

/**
 * A change that an operator requests. The control group replies with a plan, which the operator
 * confirms or drops.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = Intent.CreateWorkspace.class, name = "create_workspace"),
  @JsonSubTypes.Type(value = Intent.CreateKey.class, name = "create_key"),
  @JsonSubTypes.Type(value = Intent.RevokeKey.class, name = "revoke_key"),
  @JsonSubTypes.Type(value = Intent.TopUpBudget.class, name = "top_up_budget"),
  @JsonSubTypes.Type(value = Intent.SetPatienceClass.class, name = "set_patience_class"),
  @JsonSubTypes.Type(value = Intent.SetLimits.class, name = "set_limits"),
  @JsonSubTypes.Type(value = Intent.SetKeyLimits.class, name = "set_key_limits"),
  @JsonSubTypes.Type(value = Intent.DefineService.class, name = "define_service"),
  @JsonSubTypes.Type(value = Intent.ReleaseStranded.class, name = "release_stranded"),
  @JsonSubTypes.Type(value = Intent.OrderEngine.class, name = "order_engine")
})
public sealed interface Intent {

  /** Creates a workspace, or changes the default class and trade-off of an existing one. */
  record CreateWorkspace(String name, String defaultClass, Tradeoff tradeoff) implements Intent {}

  /** Adds an API key; only the SHA-256 of the key, in hex, is stored. */
  record CreateKey(String workspace, String keyId, String keySha256) implements Intent {}

  /** Revokes an API key. */
  record RevokeKey(String workspace, String keyId) implements Intent {}

  /** Adds paid tokens to the budget of a workspace. */
  record TopUpBudget(String workspace, long tokens) implements Intent {}

  /**
   * Defines a patience class: the price in thousandths of a budget token per token, the deadline
   * for the first token in milliseconds, the priority (higher is served first) and the reserved
   * share of capacity in thousandths.
   */
  record SetPatienceClass(
      String name, long pricePerMille, long deadlineMillis, int priority, int reservedSharePerMille)
      implements Intent {}

  /** Sets the rate limit and the concurrency limit of a workspace; 0 means no limit. */
  record SetLimits(String workspace, long requestsPerSecond, long concurrentRequests)
      implements Intent {}

  /** Sets the rate limit and the concurrency limit of an API key; 0 means no limit. */
  record SetKeyLimits(
      String workspace, String keyId, long requestsPerSecond, long concurrentRequests)
      implements Intent {}

  /** Defines a plain service: the price of a call in tokens and its idempotent HTTP methods. */
  record DefineService(String name, long priceTokens, List<String> idempotentMethods)
      implements Intent {}

  /**
   * Closes an incarnation whose process has certainly ended, and returns its stranded tokens to the
   * budget as soon as no router can hold an unreported transfer from it. Usage of the incarnation
   * that is reported after the release is written off.
   */
  record ReleaseStranded(String workspace, Incarnation incarnation) implements Intent {}

  /** Orders an engine to load a model or an adapter, or to change its role. */
  record OrderEngine(String engine, String action, String model) implements Intent {}
}
