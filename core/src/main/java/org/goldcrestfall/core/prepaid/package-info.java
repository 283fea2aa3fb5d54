/**
 * Prepaid tokens as escrow by sums: the control group grants allotments to router incarnations from
 * a workspace's total, and a router spends, lends and returns only what it holds. All amounts that
 * daemons tell each other are running sums or are counted once by the giver, so a lost or repeated
 * message can strand tokens but never create any.
 */
package org.goldcrestfall.core.prepaid;
