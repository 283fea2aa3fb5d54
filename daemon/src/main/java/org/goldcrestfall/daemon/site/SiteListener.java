package org.goldcrestfall.daemon.site;

import org.goldcrestfall.core.gateway.GatewayConfiguration;
import org.goldcrestfall.core.registry.UpstreamEntry;

/** Hears what a router learns of its site; called on the router's event loop. */
public interface SiteListener {

  /** Another configuration is in force. */
  void configurationChanged(GatewayConfiguration configuration);

  /** An upstream is new or another one than before. */
  void upstreamChanged(UpstreamEntry entry);
}
