package org.goldcrestfall.wire;

import com.google.common.collect.ConcurrentHashMultiset;
import com.google.common.collect.Multiset;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts refusals and dropped messages. */
final class RefusalCounter implements TransportListener {

  final Multiset<ConnectionRefusal> refusals = ConcurrentHashMultiset.create();
  final AtomicInteger dropped = new AtomicInteger();

  @Override
  public void refused(ConnectionRefusal refusal) {
    refusals.add(refusal);
  }

  @Override
  public void dropped(String address) {
    dropped.incrementAndGet();
  }
}
