/**
 * The request path of a router on small hosts: HTTP/1.1 with Netty's codec, forwarding without
 * change to upstreams, on one event loop. The names of headers come from a {@link
 * org.goldcrestfall.daemon.gateway.GatewayDialect}.
 */
package org.goldcrestfall.daemon.gateway;
