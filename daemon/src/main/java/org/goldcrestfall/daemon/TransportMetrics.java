package org.goldcrestfall.daemon;

import com.google.common.base.Ascii;
import org.goldcrestfall.daemon.metrics.DaemonMetrics;
import org.goldcrestfall.wire.ConnectionRefusal;
import org.goldcrestfall.wire.TransportListener;

/** Counts messages that the peer transport refuses or drops, and bytes sent and received. */
final class TransportMetrics implements TransportListener {

  private final DaemonMetrics metrics;

  TransportMetrics(DaemonMetrics metrics) {
    this.metrics = metrics;
  }

  @Override
  public void refused(ConnectionRefusal refusal) {
    metrics.countDroppedPeerMessage(Ascii.toLowerCase(refusal.name()));
  }

  @Override
  public void dropped(String address) {
    metrics.countDroppedPeerMessage("not_connected");
  }

  @Override
  public void sent(int bytes) {
    metrics.countSentPeerBytes(bytes);
  }

  @Override
  public void received(int bytes) {
    metrics.countReceivedPeerBytes(bytes);
  }
}
