package org.goldcrestfall.core.quarantine;

import java.util.Optional;

/**
 * An answer that shows that a prompt part crashes no upstreams.
 *
 * @param progress how far the answer has been written; empty if it has ended as it should
 */
public record SoundAnswer(ServicePart part, Optional<AnswerProgress> progress) {

  /** Creates the evidence of an answer that has ended as it should. */
  public static SoundAnswer ended(ServicePart part) {
    return new SoundAnswer(part, Optional.empty());
  }

  /** Returns whether this answer shows all that the other one does. */
  public boolean covers(SoundAnswer other) {
    return progress.isEmpty()
        || other.progress.isPresent() && progress.get().reaches(other.progress.get());
  }
}
