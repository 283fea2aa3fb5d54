/**
 * Benchmarks: discrete-event simulations of routing and admission on modelled engines, and {@link
 * org.goldcrestfall.standin.bench.PathBench}, which measures running processes.
 */
package org.goldcrestfall.standin.bench;
