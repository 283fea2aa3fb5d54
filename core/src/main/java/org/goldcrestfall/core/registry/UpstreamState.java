package org.goldcrestfall.core.registry;

/**
 * The state that an upstream last announced. At the same sequence number, the later constant
 * supersedes the earlier one.
 */
public enum UpstreamState {
  READY,
  DRAINING,
  GONE
}
