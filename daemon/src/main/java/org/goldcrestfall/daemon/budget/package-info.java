/** The router's allotments at work: reservations, grants, settlement and transfers. */
package org.goldcrestfall.daemon.budget;
