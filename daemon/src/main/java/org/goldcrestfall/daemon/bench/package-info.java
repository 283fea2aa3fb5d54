/** Benchmarks of daemon parts, run by {@code scripts/bench}. */
package org.goldcrestfall.daemon.bench;
