/** Benchmarks of the replicated log; run by {@code scripts/bench}. */
package org.goldcrestfall.daemon.bench;
