package org.goldcrestfall.daemon.site;

import org.goldcrestfall.core.gateway.GatewayConfiguration;
import org.goldcrestfall.core.quarantine.QuarantineView;
import org.goldcrestfall.core.registry.UpstreamEntry;
import org.goldcrestfall.core.site.EvacuatedZones;

/** Receives changes of the site's state on a router; called on the router's event loop. */
public interface SiteListener {

  /** Called when a different configuration takes effect. */
  void configurationChanged(GatewayConfiguration configuration);

  /** Called when an upstream is new or its entry has changed. */
  void upstreamChanged(UpstreamEntry entry);

  /** Called when the prompt parts under which upstreams have crashed are different ones. */
  void quarantineChanged(QuarantineView quarantine);

  /** Called when other availability zones than before are evacuated. */
  void evacuationChanged(EvacuatedZones evacuatedZones);
}
