package org.goldcrestfall.core.quarantine;

import com.google.common.collect.ImmutableList;

/**
 * A request that was lost in the crash of an upstream before its answer had begun.
 *
 * @param upstream the id of the upstream
 * @param startedAtMillis the start of the incarnation of the upstream
 * @param request the id of the request
 * @param parts the ids of the shared parts of its prompt
 * @param atMillis the time of the crash on the router's clock, in milliseconds since the epoch
 */
public record CrashReport(
    String service,
    String upstream,
    long startedAtMillis,
    String request,
    ImmutableList<String> parts,
    long atMillis) {

  /** Returns the crash in which the request was lost. */
  Crash crash() {
    return new Crash(service, upstream, startedAtMillis);
  }

  /** Returns whether both reports are about the crash of the same incarnation of an upstream. */
  boolean isSameCrash(CrashReport other) {
    return startedAtMillis == other.startedAtMillis && upstream.equals(other.upstream);
  }

  CrashReport without(String part) {
    ImmutableList<String> rest =
        parts.stream().filter(p -> !p.equals(part)).collect(ImmutableList.toImmutableList());
    return new CrashReport(service, upstream, startedAtMillis, request, rest, atMillis);
  }
}
