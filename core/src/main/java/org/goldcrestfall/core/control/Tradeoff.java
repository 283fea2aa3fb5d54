package org.goldcrestfall.core.control;

/**
 * How a workspace trades tokens stranded by failed routers against requests refused during a
 * partition although its budget is not exhausted.
 */
public enum Tradeoff {
  /** Small allotments: a failed router strands few tokens. */
  STRICT,
  /** Large allotments: routers keep serving during long partitions. */
  AVAILABLE
}
