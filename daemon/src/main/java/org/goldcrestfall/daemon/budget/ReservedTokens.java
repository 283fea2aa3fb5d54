package org.goldcrestfall.daemon.budget;

/** Budget tokens reserved for one request; {@code id} is unique within the process. */
public record ReservedTokens(String workspace, long id, long tokens) {}
