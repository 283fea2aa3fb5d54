/**
 * Group membership of the daemons, and the directory of upstreams. The classes are state machines
 * without I/O: the current time and random seeds are arguments, and messages to send are returned
 * as effects.
 */
package org.goldcrestfall.core.membership;
