/**
 * Membership of the fleet and the directory of upstreams, as state machines without I/O: time and
 * seeds are arguments, messages to send are effects.
 */
package org.goldcrestfall.core.membership;
