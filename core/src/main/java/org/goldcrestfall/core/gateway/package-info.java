/**
 * The gateway's configuration: routes by host and path, services, limits and workspaces, as one
 * immutable value under a version.
 */
package org.goldcrestfall.core.gateway;
