package org.goldcrestfall.daemon.peer;

import org.goldcrestfall.core.control.ConfigView;
import org.goldcrestfall.core.membership.Member;
import org.goldcrestfall.core.membership.UpstreamAnnouncement;

/** Observes a {@link PeerService}. Methods run on its thread and must not block. */
public interface PeerListener {

  /** Called after a newer configuration took effect and, if there is a data folder, was stored. */
  default void configChanged(ConfigView view) {}

  /** Called when a member is new or has changed. */
  default void memberChanged(Member member) {}

  /** Called when an announcement is newer than the known one of its upstream. */
  default void upstreamAnnounced(UpstreamAnnouncement announcement) {}
}
