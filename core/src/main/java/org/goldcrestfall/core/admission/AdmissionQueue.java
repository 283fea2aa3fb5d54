package org.goldcrestfall.core.admission;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.goldcrestfall.core.common.ErrorKind;

/**
 * The requests of one router that wait for a slot: earliest deadline first within reserved shares.
 * A request that cannot meet its deadline is refused as soon as this is known, the lowest price
 * first and among equal prices the latest deadline. Bounded in entries and bytes. Every request
 * that was offered ends exactly once: polled, refused or cancelled. Not thread-safe.
 */
public final class AdmissionQueue {

  /** The request that is refused first. */
  private static final Comparator<QueuedRequest> REFUSED_FIRST =
      Comparator.comparingLong(QueuedRequest::pricePerMille)
          .thenComparing(Comparator.comparingLong(QueuedRequest::deadlineMillis).reversed())
          .thenComparing(QueuedRequest::id);

  private static final class Dispatched {
    final QueuedRequest request;
    final long startMillis;
    boolean hasFirstToken;

    Dispatched(QueuedRequest request, long startMillis) {
      this.request = request;
      this.startMillis = startMillis;
    }
  }

  private final class LiveView implements SlotRule.View {
    final ClassQueue queue;
    final long nowMillis;

    LiveView(ClassQueue queue, long nowMillis) {
      this.queue = queue;
      this.nowMillis = nowMillis;
    }

    @Override
    public String name() {
      return queue.name;
    }

    @Override
    public int priority() {
      return queue.priority;
    }

    @Override
    public int running() {
      return queue.running;
    }

    @Override
    public int prefilling() {
      return queue.prefilling;
    }

    @Override
    public double demand() {
      return queue.demand(nowMillis);
    }

    @Override
    public QueuedRequest first() {
      return queue.waiting.isEmpty() ? null : queue.waiting.first();
    }
  }

  private final int maxEntries;
  private final long maxBytes;
  private final Map<String, ClassQueue> classes = new LinkedHashMap<>();
  private final Map<String, QueuedRequest> waiting = new HashMap<>();
  private final Map<String, Dispatched> running = new HashMap<>();
  private Shares shares;
  private long bytes;

  /**
   * Creates an empty queue.
   *
   * @param maxEntries bound on the waiting requests
   * @param maxBytes bound on their memory
   */
  public AdmissionQueue(int maxEntries, long maxBytes, Shares shares) {
    checkArgument(maxEntries > 0, "maxEntries must be positive: %s", maxEntries);
    this.maxEntries = maxEntries;
    this.maxBytes = maxBytes;
    this.shares = shares;
  }

  /** Replaces the reserved shares after a configuration change. */
  public void setShares(Shares newShares) {
    shares = newShares;
  }

  /**
   * Adds a request and returns the requests that must be refused because of it, which may include
   * the request itself.
   *
   * @param slots number of slots that this router may use, see {@link CapacityEstimator}
   */
  public List<Refusal> offer(QueuedRequest request, double slots, long nowMillis) {
    checkArgument(
        !waiting.containsKey(request.id()) && !running.containsKey(request.id()),
        "request %s is already known",
        request.id());
    if (request.latestStartMillis() < nowMillis) {
      return List.of(new Refusal(request, ErrorKind.DEADLINE_UNREACHABLE));
    }
    ClassQueue queue = classes.computeIfAbsent(request.patienceClass(), ClassQueue::new);
    queue.onOffer(request, nowMillis);
    queue.waiting.add(request);
    waiting.put(request.id(), request);
    bytes += request.bytes();
    List<Refusal> refusals = new ArrayList<>();
    while (waiting.size() > maxEntries || bytes > maxBytes) {
      refuse(refusedFirst(waiting.values()), ErrorKind.OVERLOADED, refusals);
    }
    shed(slots, nowMillis, refusals);
    return refusals;
  }

  /**
   * Takes the next request to dispatch, or empty if none waits or no slot may be used. The request
   * holds a slot until {@link #complete}. Poll again after each event that may free capacity: first
   * token, completion, load report.
   */
  public Optional<QueuedRequest> poll(double slots, long nowMillis) {
    List<LiveView> views = classes.values().stream().map(q -> new LiveView(q, nowMillis)).toList();
    LiveView next = new SlotRule(shares, slots).next(views);
    if (next == null) {
      return Optional.empty();
    }
    QueuedRequest request = next.first();
    remove(request);
    next.queue.running++;
    next.queue.prefilling++;
    running.put(request.id(), new Dispatched(request, nowMillis));
    return Optional.of(request);
  }

  /** Frees the slot of a polled request, whatever its outcome; an unknown id is ignored. */
  public void complete(String id) {
    Dispatched d = running.remove(id);
    if (d != null) {
      ClassQueue queue = classes.get(d.request.patienceClass());
      queue.running--;
      queue.prefilling -= d.hasFirstToken ? 0 : 1;
    }
  }

  /** Records the first token of a polled request; an unknown id is ignored. */
  public void onFirstToken(String id) {
    Dispatched d = running.get(id);
    if (d != null && !d.hasFirstToken) {
      d.hasFirstToken = true;
      classes.get(d.request.patienceClass()).prefilling--;
    }
  }

  /** Removes a waiting request whose caller has gone, and returns whether it was waiting. */
  public boolean cancel(String id) {
    QueuedRequest request = waiting.get(id);
    if (request == null) {
      return false;
    }
    remove(request);
    return true;
  }

  /**
   * Removes the requests that can no longer meet their deadline. Call it about every 100 ms, and
   * whenever capacity is lost.
   */
  public List<Refusal> expire(double slots, long nowMillis) {
    List<Refusal> refusals = new ArrayList<>();
    for (QueuedRequest r : List.copyOf(waiting.values())) {
      if (r.latestStartMillis() < nowMillis) {
        refuse(r, ErrorKind.DEADLINE_UNREACHABLE, refusals);
      }
    }
    shed(slots, nowMillis, refusals);
    return refusals;
  }

  /** Returns the number of waiting requests. */
  public int size() {
    return waiting.size();
  }

  /** Returns the memory of the waiting requests. */
  public long bytes() {
    return bytes;
  }

  /** Returns the number of polled requests that have not completed. */
  public int running() {
    return running.size();
  }

  private void shed(double slots, long nowMillis, List<Refusal> refusals) {
    List<StartPlan.Running> ends = new ArrayList<>(running.size());
    for (Dispatched d : running.values()) {
      long end = d.startMillis + d.request.holdMillis();
      // A request that has outlasted its estimate is expected to take a tenth of it more.
      long soonest = nowMillis + d.request.holdMillis() / 10;
      ends.add(new StartPlan.Running(d.request.patienceClass(), Math.max(end, soonest)));
    }
    while (!waiting.isEmpty()) {
      List<QueuedRequest> ahead = new ArrayList<>();
      boolean late = false;
      for (StartPlan.Start s : StartPlan.of(classes.values(), ends, shares, slots, nowMillis)) {
        ahead.add(s.request());
        if (s.late()) {
          late = true;
          break;
        }
      }
      if (!late) {
        return;
      }
      QueuedRequest victim = refusedFirst(ahead);
      ErrorKind kind = ahead.size() == 1 ? ErrorKind.DEADLINE_UNREACHABLE : ErrorKind.OVERLOADED;
      refuse(victim, kind, refusals);
    }
  }

  private static QueuedRequest refusedFirst(Collection<QueuedRequest> requests) {
    return requests.stream().min(REFUSED_FIRST).orElseThrow();
  }

  private void refuse(QueuedRequest request, ErrorKind kind, List<Refusal> refusals) {
    remove(request);
    refusals.add(new Refusal(request, kind));
  }

  private void remove(QueuedRequest request) {
    waiting.remove(request.id());
    classes.get(request.patienceClass()).waiting.remove(request);
    bytes -= request.bytes();
  }
}
