/**
 * The configuration of the gateway: routes by host and path, services, limits and workspaces, as
 * one immutable, versioned object.
 */
package org.goldcrestfall.core.gateway;
