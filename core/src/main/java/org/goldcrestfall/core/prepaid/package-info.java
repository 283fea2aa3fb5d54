/**
 * Escrow of prepaid tokens: the control group grants allotments to router incarnations from the
 * total of a workspace, and a router spends, lends and returns only what it holds. All amounts that
 * daemons send each other are cumulative totals, or are deducted once by the sender, so a lost or
 * duplicated message can strand tokens but never create any.
 */
package org.goldcrestfall.core.prepaid;
