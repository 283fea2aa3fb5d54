/** Limits what all routers together send to upstreams that have just started. */
package org.goldcrestfall.core.warmup;
