package org.goldcrestfall.daemon.site;

import org.goldcrestfall.core.gateway.GatewayConfiguration;
import org.goldcrestfall.core.gateway.InvalidConfigurationException;

/**
 * Decodes a configuration document that an operator has written. Decoding is deterministic: the
 * same document always gives the same configuration.
 */
public interface ConfigurationDecoder {

  /**
   * Decodes a document.
   *
   * @throws InvalidConfigurationException with the first error in the document
   */
  GatewayConfiguration decode(byte[] document) throws InvalidConfigurationException;
}
