package org.goldcrestfall.daemon.gateway;

/** Receives signs that an incarnation of an upstream has crashed; called on the event loop. */
interface CrashSigns {

  /** Ignores all signs. */
  CrashSigns NONE =
      new CrashSigns() {
        @Override
        public void onRefused(Upstream upstream) {}

        @Override
        public void onReplaced(Upstream upstream) {}

        @Override
        public void onIdleConnectionClosed(Upstream upstream) {}
      };

  /** No process listens at the address of the upstream any more. */
  void onRefused(Upstream upstream);

  /** The address of the upstream belongs to another one now. */
  void onReplaced(Upstream upstream);

  /** The upstream has closed a connection on which no request was in flight. */
  void onIdleConnectionClosed(Upstream upstream);
}
