/** The protocol between daemons: protobuf messages over TCP with a shared-key handshake. */
package org.goldcrestfall.wire;
