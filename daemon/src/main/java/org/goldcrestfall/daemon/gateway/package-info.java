/**
 * The request path of a router on small hosts: it forwards HTTP/1.1 requests unchanged to
 * upstreams, on one event loop, with Netty's codec. A {@link
 * org.goldcrestfall.daemon.gateway.GatewayHeaderNames} contains the names of the headers.
 */
package org.goldcrestfall.daemon.gateway;
