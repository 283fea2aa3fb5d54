/**
 * The replicated state of the control group: configuration, budgets, billing records, bookings,
 * plans, audit trail and orders, as one deterministic state machine over commands.
 */
package org.goldcrestfall.core.control;
