package org.goldcrestfall.daemon.peer;

import org.goldcrestfall.core.control.ConfigView;
import org.goldcrestfall.core.membership.Member;
import org.goldcrestfall.core.membership.UpstreamAnnouncement;

/** Observes a {@link PeerService}. Methods run on its thread and must not block. */
public interface PeerListener {

  /** A newer configuration is in force, persisted if there is a data folder. */
  default void configChanged(ConfigView view) {}

  /** A member is new or changed. */
  default void memberChanged(Member member) {}

  /** An announcement arrived that is newer than the known one of its upstream. */
  default void upstreamAnnounced(UpstreamAnnouncement announcement) {}
}
