package org.goldcrestfall.daemon;

import com.google.common.base.Ascii;
import org.goldcrestfall.daemon.metrics.DaemonMetrics;
import org.goldcrestfall.wire.Refusal;
import org.goldcrestfall.wire.TransportListener;

/** Counts what the transport between daemons refuses, drops, sends and receives. */
final class TransportMetrics implements TransportListener {

  private final DaemonMetrics metrics;

  TransportMetrics(DaemonMetrics metrics) {
    this.metrics = metrics;
  }

  @Override
  public void refused(Refusal refusal) {
    metrics.peerDropped(Ascii.toLowerCase(refusal.name()));
  }

  @Override
  public void dropped(String address) {
    metrics.peerDropped("not_connected");
  }

  @Override
  public void sent(int bytes) {
    metrics.peerSent(bytes);
  }

  @Override
  public void received(int bytes) {
    metrics.peerReceived(bytes);
  }
}
