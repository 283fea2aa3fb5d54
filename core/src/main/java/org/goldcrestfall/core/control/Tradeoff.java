package org.goldcrestfall.core.control;

/** How a workspace trades stranded tokens against false refusals during a partition. */
public enum Tradeoff {
  /** Small allotments: few tokens are stranded by a dead router. */
  STRICT,
  /** Large allotments: routers keep serving through long partitions. */
  AVAILABLE
}
