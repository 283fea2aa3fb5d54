package org.goldcrestfall.core.gateway;

import com.google.common.collect.ImmutableList;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * A workspace with its API keys.
 *
 * @param priority overrides the priority of the route, if present
 * @param prepaidTokens the number of tokens that may be consumed in total, if limited
 */
public record WorkspaceSettings(
    String name, ImmutableList<String> keys, OptionalInt priority, OptionalLong prepaidTokens) {}
