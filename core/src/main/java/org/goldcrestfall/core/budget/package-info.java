/**
 * The router's side of the budget escrow: allotments, the policy by which they are requested and
 * returned, settlement, proof of use for the next incarnation, and transfers between routers.
 */
package org.goldcrestfall.core.budget;
