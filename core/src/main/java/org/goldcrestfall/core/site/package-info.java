/**
 * The replicated state of a site: the latest configuration with the operator's original document,
 * and the ledger of prepaid tokens.
 */
package org.goldcrestfall.core.site;
