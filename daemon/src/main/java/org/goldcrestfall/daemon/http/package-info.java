/** The HTTP server with the APIs for callers, upstreams, operators and the platform. */
package org.goldcrestfall.daemon.http;
