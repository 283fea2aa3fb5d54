/**
 * The replicated state machine of the control group. It holds the configuration, budgets, billing
 * records, bookings, plans, the audit trail and the orders to engines.
 */
package org.goldcrestfall.core.control;
