package org.goldcrestfall.daemon.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/** The requests that wait for tokens, queued in order of arrival by workspace. Not thread-safe. */
final class WaitingRequests {

  private final int maxPerWorkspace;
  private final Map<String, List<Waiter>> queues = new HashMap<>();

  WaitingRequests(int maxPerWorkspace) {
    this.maxPerWorkspace = maxPerWorkspace;
  }

  /** A request that has waited since {@code sinceMillis}. */
  record Waiter(
      ReservedTokens reservation, CompletableFuture<ReservedTokens> future, long sinceMillis) {}

  /** Appends a request to the queue of its workspace. Returns false if the queue is full. */
  boolean add(Waiter w) {
    List<Waiter> queue =
        queues.computeIfAbsent(w.reservation().workspace(), k -> new ArrayList<>());
    return queue.size() < maxPerWorkspace && queue.add(w);
  }

  /** Removes and returns the requests that satisfy the condition, tested in order of arrival. */
  List<Waiter> take(String workspace, Predicate<Waiter> condition) {
    List<Waiter> queue = queues.get(workspace);
    if (queue == null) {
      return List.of();
    }
    List<Waiter> taken = queue.stream().filter(condition).toList();
    queue.removeAll(taken);
    if (queue.isEmpty()) {
      queues.remove(workspace);
    }
    return taken;
  }

  /** Returns the sum of the tokens that the requests of a workspace wait for. */
  long tokens(String workspace) {
    long sum = 0;
    for (Waiter w : queues.getOrDefault(workspace, List.of())) {
      sum += w.reservation().tokens();
    }
    return sum;
  }

  /** Returns the workspaces with waiting requests. */
  Set<String> workspaces() {
    return Set.copyOf(queues.keySet());
  }
}
