/** The protocol between daemons: protobuf messages over Netty with a keyed handshake. */
package org.goldcrestfall.wire;
