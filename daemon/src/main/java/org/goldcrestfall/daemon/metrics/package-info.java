/** Prometheus metrics of the daemon. */
package org.goldcrestfall.daemon.metrics;
