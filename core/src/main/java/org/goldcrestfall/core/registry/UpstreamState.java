package org.goldcrestfall.core.registry;

/** What an upstream last said of itself; later constants win at the same sequence number. */
public enum UpstreamState {
  READY,
  DRAINING,
  GONE
}
