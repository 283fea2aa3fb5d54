package org.goldcrestfall.core.common;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One run of a daemon on a host. The control group assigns the boot number, so the incarnations of
 * a host are totally ordered; 0 denotes a daemon that is not registered yet.
 */
public record Incarnation(String host, long boot) implements Comparable<Incarnation> {

  /** Checks the arguments. */
  public Incarnation {
    checkArgument(!host.isEmpty(), "host must not be empty");
    checkArgument(boot >= 0, "boot must not be negative: %s", boot);
  }

  /** Parses the format of {@link #toString}. */
  public static Incarnation parse(String text) {
    int i = text.lastIndexOf('#');
    checkArgument(i > 0, "incarnation must have the form host#boot: %s", text);
    return new Incarnation(text.substring(0, i), Long.parseLong(text.substring(i + 1)));
  }

  @Override
  public int compareTo(Incarnation other) {
    int c = host.compareTo(other.host);
    return c != 0 ? c : Long.compare(boot, other.boot);
  }

  @Override
  public String toString() {
    return host + "#" + boot;
  }
}
