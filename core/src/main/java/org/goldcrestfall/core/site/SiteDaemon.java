package org.goldcrestfall.core.site;

/**
 * A running daemon of a site.
 *
 * @param address its peer address
 * @param control whether it is a control daemon; otherwise it is a router
 */
public record SiteDaemon(String host, String address, String zone, boolean control) {}
