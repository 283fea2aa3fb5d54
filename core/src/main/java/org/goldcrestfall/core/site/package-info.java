/**
 * The replicated state of a site: the newest configuration with its document as the operator sent
 * it, and the ledger of prepaid tokens.
 */
package org.goldcrestfall.core.site;
