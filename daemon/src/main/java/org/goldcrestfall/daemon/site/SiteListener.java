package org.goldcrestfall.daemon.site;

import org.goldcrestfall.core.gateway.GatewayConfiguration;
import org.goldcrestfall.core.registry.UpstreamEntry;

/** Receives changes of the site's state on a router; called on the router's event loop. */
public interface SiteListener {

  /** Called when a different configuration takes effect. */
  void configurationChanged(GatewayConfiguration configuration);

  /** Called when an upstream is new or its entry has changed. */
  void upstreamChanged(UpstreamEntry entry);
}
