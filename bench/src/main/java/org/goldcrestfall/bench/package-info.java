/** Benchmarks of the daemon's parts; run by {@code scripts/bench NAME}. */
package org.goldcrestfall.bench;
