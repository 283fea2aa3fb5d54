package org.goldcrestfall.core.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.goldcrestfall.core.common.Incarnation;

/** What an operator wants; the control group answers with a plan to confirm or drop. */
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

  /** Creates or changes a workspace. */
  record CreateWorkspace(String name, String defaultClass, Tradeoff tradeoff) implements Intent {}

  /** Adds an API key; only the SHA-256 of the key, in hex, is stored. */
  record CreateKey(String workspace, String keyId, String keySha256) implements Intent {}

  /** Revokes an API key. */
  record RevokeKey(String workspace, String keyId) implements Intent {}

  /** Adds paid tokens to the budget of a workspace. */
  record TopUpBudget(String workspace, long tokens) implements Intent {}

  /**
   * Defines a patience class: price in thousandths of a token per token, deadline of the first
   * token in milliseconds, priority (higher is sooner) and reserved share of capacity in
   * thousandths.
   */
  record SetPatienceClass(
      String name, long pricePerMille, long deadlineMillis, int priority, int reservedSharePerMille)
      implements Intent {}

  /** Sets the rate limit (requests a second) and concurrency limit of a workspace; 0 is none. */
  record SetLimits(String workspace, long requestsPerSecond, long concurrentRequests)
      implements Intent {}

  /** Sets the rate limit (requests a second) and concurrency limit of a key; 0 is none. */
  record SetKeyLimits(
      String workspace, String keyId, long requestsPerSecond, long concurrentRequests)
      implements Intent {}

  /** Defines a plain service: price of a call in tokens, and its idempotent HTTP methods. */
  record DefineService(String name, long priceTokens, List<String> idempotentMethods)
      implements Intent {}

  /**
   * Closes an incarnation whose process is certainly gone, and returns its stranded tokens as soon
   * as no router can hold an unreported transfer from it. What it delivered without billing is
   * written off.
   */
  record ReleaseStranded(String workspace, Incarnation incarnation) implements Intent {}

  /** Orders an engine to load a model or adapter or to change role. */
  record OrderEngine(String engine, String action, String model) implements Intent {}
}
