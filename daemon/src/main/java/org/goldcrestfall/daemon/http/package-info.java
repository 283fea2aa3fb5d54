/** The HTTP server: callers, announcements, operators and the platform. */
package org.goldcrestfall.daemon.http;
