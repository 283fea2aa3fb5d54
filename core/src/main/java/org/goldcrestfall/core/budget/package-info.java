/**
 * The router's side of the budget escrow: allotments, when to ask for them and hand them back,
 * settlement, proof of use for the next incarnation, and transfers between routers.
 */
package org.goldcrestfall.core.budget;
