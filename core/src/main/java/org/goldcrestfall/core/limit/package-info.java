/**
 * Rate and concurrency limits of workspaces and keys, enforced over all routers without a central
 * service; and rate limits that upstreams state, for which control daemons grant permits.
 */
package org.goldcrestfall.core.limit;
