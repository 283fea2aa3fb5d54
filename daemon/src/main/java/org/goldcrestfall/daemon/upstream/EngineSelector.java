package org.goldcrestfall.daemon.upstream;

import java.util.Optional;
import java.util.Set;

/** Picks an engine for an attempt and learns how the attempt went. */
public interface EngineSelector {

  /**
   * Picks an engine that serves the call's model.
   *
   * @param excluded names of the engines that have failed this request
   */
  Optional<Selection> select(ChatCall call, Set<String> excluded);

  /** One attempt at one engine. Exactly one of {@code finished} and {@code failed} ends it. */
  interface Selection {

    /** Returns the name of the engine. */
    String name();

    /** Returns the IP address and port of the engine. */
    String address();

    /** Notes the first token. */
    void firstToken();

    /** Notes the end of an attempt that did not fail, cancelled ones included. */
    void finished();

    /** Notes that the engine failed. */
    void failed();
  }
}
