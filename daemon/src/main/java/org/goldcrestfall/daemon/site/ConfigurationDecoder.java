package org.goldcrestfall.daemon.site;

import org.goldcrestfall.core.gateway.GatewayConfiguration;
import org.goldcrestfall.core.gateway.InvalidConfigurationException;

/** Reads the operator's document; the same document always gives the same configuration. */
public interface ConfigurationDecoder {

  /** Returns the configuration, or fails with the first fault of the document. */
  GatewayConfiguration decode(byte[] document) throws InvalidConfigurationException;
}
