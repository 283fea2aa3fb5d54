/** Token budgets on a router: reservations, grants, settlements and transfers of its allotments. */
package org.goldcrestfall.daemon.budget;
