package org.goldcrestfall.daemon.upstream;

import java.util.Optional;
import java.util.Set;

/** Selects the engine for an attempt and receives the result of the attempt. */
public interface EngineSelector {

  /**
   * Selects an engine that serves the call's model, or returns empty if there is none.
   *
   * @param excluded names of the engines that have failed this request
   */
  Optional<Selection> select(ChatCall call, Set<String> excluded);

  /**
   * An upstream selected for one attempt, an engine or an instance of a plain service. The attempt
   * is ended by exactly one call of {@code finished} or {@code failed}.
   */
  interface Selection {

    /** Returns the name of the upstream. */
    String name();

    /** Returns the IP address and port of the upstream. */
    String address();

    /** Records that the first token has arrived. */
    void firstToken();

    /** Records the end of an attempt that succeeded or was cancelled. */
    void finished();

    /** Records that the upstream failed. */
    void failed();
  }
}
