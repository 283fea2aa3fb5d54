package org.goldcrestfall.core.control;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The charge for a request. {@code tokens} is the charge in budget tokens; {@code promptTokens} and
 * {@code outputTokens} are the model tokens that the upstream counted, 0 for plain services.
 */
public record BillingRecord(
    String workspace,
    String requestId,
    String bodyHash,
    String target,
    String patienceClass,
    long promptTokens,
    long outputTokens,
    long tokens,
    long atMillis) {

  /** Checks that the fields that identify the request are present. */
  public BillingRecord {
    checkNotNull(workspace, "workspace");
    checkNotNull(requestId, "requestId");
  }
}
