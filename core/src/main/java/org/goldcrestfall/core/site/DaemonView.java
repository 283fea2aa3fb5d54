package org.goldcrestfall.core.site;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The daemons of a site as a router knows them: all that any of the control daemons that it watches
 * lists. Not thread-safe.
 */
public final class DaemonView {

  private final List<Map<String, SiteDaemon>> sources = new ArrayList<>();
  private ImmutableMap<String, SiteDaemon> controls = ImmutableMap.of();
  private ImmutableMap<String, SiteDaemon> routers = ImmutableMap.of();

  /**
   * Creates an empty view.
   *
   * @param sourceCount number of control daemons that are watched at the same time
   */
  public DaemonView(int sourceCount) {
    for (int i = 0; i < sourceCount; i++) {
      sources.add(new HashMap<>());
    }
  }

  /** Applies the changes that one of the watched control daemons has sent. */
  public void apply(int source, DaemonDirectory.Changes changes) {
    if (!changes.complete() && changes.present().isEmpty() && changes.removed().isEmpty()) {
      return;
    }
    Map<String, SiteDaemon> known = sources.get(source);
    if (changes.complete()) {
      known.clear();
    }
    changes.present().forEach(d -> known.put(d.address(), d));
    changes.removed().forEach(known::remove);
    Map<String, SiteDaemon> nextControls = new HashMap<>();
    Map<String, SiteDaemon> nextRouters = new HashMap<>();
    for (Map<String, SiteDaemon> s : sources) {
      s.forEach((address, d) -> (d.control() ? nextControls : nextRouters).put(address, d));
    }
    controls = ImmutableMap.copyOf(nextControls);
    routers = ImmutableMap.copyOf(nextRouters);
  }

  /** Returns the control daemons by address. */
  public ImmutableMap<String, SiteDaemon> controls() {
    return controls;
  }

  /** Returns the routers by address. */
  public ImmutableMap<String, SiteDaemon> routers() {
    return routers;
  }
}
