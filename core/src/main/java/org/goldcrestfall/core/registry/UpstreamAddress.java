package org.goldcrestfall.core.registry;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

/** The form of an upstream's address: a literal IPv4 address and a port, such as 10.0.0.9:8080. */
public final class UpstreamAddress {

  private static final int IPV4_BYTES = 4;

  private UpstreamAddress() {}

  /**
   * Returns whether connections can be opened to an address without a name lookup, which would
   * block: it is a literal IPv4 address, and its port is between 1 and 65,535.
   */
  public static boolean isValid(String address) {
    try {
      HostAndPort parsed = HostAndPort.fromString(address);
      return parsed.getPort() > 0
          && InetAddresses.forString(parsed.getHost()).getAddress().length == IPV4_BYTES;
    } catch (IllegalArgumentException | IllegalStateException e) {
      // The host is not an IP address, or the port is missing, not a number or out of range.
      return false;
    }
  }
}
