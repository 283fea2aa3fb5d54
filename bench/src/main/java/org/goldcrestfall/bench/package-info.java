/** Benchmarks of the daemon's components, run with {@code scripts/bench NAME}. */
package org.goldcrestfall.bench;
