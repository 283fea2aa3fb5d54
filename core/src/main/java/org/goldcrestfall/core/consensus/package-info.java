/**
 * A replicated log: Raft with pre-vote, check-quorum, leader leases, snapshots and single-server
 * membership changes, as a state machine without I/O.
 */
package org.goldcrestfall.core.consensus;
