/**
 * Rate and concurrency limits of workspaces and keys, enforced over all routers without a central
 * service.
 */
package org.goldcrestfall.core.limit;
