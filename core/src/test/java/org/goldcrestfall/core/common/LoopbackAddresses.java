package org.goldcrestfall.core.common;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Loopback addresses that no other test uses. A port that is free at 127.0.0.1 may be given to an
 * outgoing connection of any process before it is bound; at another loopback address it is not.
 */
public final class LoopbackAddresses {

  private LoopbackAddresses() {}

  /** Returns an address in a random network. */
  public static String next() {
    return nextNetwork() + ".1";
  }

  /**
   * Returns the first three numbers of the addresses of a random network in 127.0.0.0/8, other than
   * that of the usual address.
   */
  public static String nextNetwork() {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    return "127." + random.nextInt(1, 255) + "." + random.nextInt(255);
  }
}
