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
 * Holds the requests of one router that wait for a slot, and dispatches them earliest deadline
 * first within the reserved shares of their patience classes. If the waiting requests cannot all
 * meet their deadlines, some are refused as soon as this is known, the lowest price first and among
 * equal prices the latest deadline. The queue is bounded in requests and bytes. Every offered
 * request leaves it exactly once: polled, refused or cancelled. Not thread-safe.
 */
public final class AdmissionQueue {

  /** Order of refusal: the lowest price first, and among equal prices the latest deadline. */
  private static final Comparator<QueuedRequest> REFUSED_FIRST =
      Comparator.comparingLong(QueuedRequest::pricePerMille)
          .thenComparing(Comparator.comparingLong(QueuedRequest::deadlineMillis).reversed())
          .thenComparing(QueuedRequest::id);

  private static final class Dispatched {
    final QueuedRequest request;
    final long startedAtMillis;
    boolean hasFirstToken;

    Dispatched(QueuedRequest request, long startedAtMillis) {
      this.request = request;
      this.startedAtMillis = startedAtMillis;
    }
  }

  /** The current state of a class, as opposed to the simulated one of {@link StartForecast}. */
  private final class CurrentClassView implements SlotAllocator.ClassView {
    final ClassQueue queue;
    final long nowMillis;

    CurrentClassView(ClassQueue queue, long nowMillis) {
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
  private ReservedShares shares;
  private long bytes;

  /**
   * Creates an empty queue.
   *
   * @param maxEntries bound on the number of waiting requests
   * @param maxBytes bound on the total size of the waiting requests
   * @param shares reserved shares of the patience classes
   */
  public AdmissionQueue(int maxEntries, long maxBytes, ReservedShares shares) {
    checkArgument(maxEntries > 0, "maxEntries must be positive: %s", maxEntries);
    this.maxEntries = maxEntries;
    this.maxBytes = maxBytes;
    this.shares = shares;
  }

  /** Replaces the reserved shares after a configuration change. */
  public void setShares(ReservedShares newShares) {
    shares = newShares;
  }

  /**
   * Adds a request and returns the requests that are refused as a result, which may include the
   * request itself.
   *
   * @param slots number of slots that this router may use, see {@link CapacityEstimator}
   * @throws IllegalArgumentException if a request with this id is waiting or running
   */
  public List<Refusal> offer(QueuedRequest request, double slots, long nowMillis) {
    checkArgument(
        !waiting.containsKey(request.id()) && !running.containsKey(request.id()),
        "request %s is already waiting or running",
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
   * Removes and returns the next request to dispatch, or returns empty if no request is waiting or
   * none may start. The request holds a slot until {@link #complete}. Poll again after each event
   * that may free capacity: a first token, a completion or a load report.
   */
  public Optional<QueuedRequest> poll(double slots, long nowMillis) {
    List<CurrentClassView> views =
        classes.values().stream().map(q -> new CurrentClassView(q, nowMillis)).toList();
    CurrentClassView next = new SlotAllocator(shares, slots).next(views);
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

  /** Frees the slot of a polled request, whatever its outcome. An unknown id is ignored. */
  public void complete(String id) {
    Dispatched d = running.remove(id);
    if (d != null) {
      ClassQueue queue = classes.get(d.request.patienceClass());
      queue.running--;
      queue.prefilling -= d.hasFirstToken ? 0 : 1;
    }
  }

  /** Records the first token of a polled request. An unknown id is ignored. */
  public void onFirstToken(String id) {
    Dispatched d = running.get(id);
    if (d != null && !d.hasFirstToken) {
      d.hasFirstToken = true;
      classes.get(d.request.patienceClass()).prefilling--;
    }
  }

  /**
   * Removes a waiting request whose caller has disconnected, and returns whether it was waiting.
   */
  public boolean cancel(String id) {
    QueuedRequest request = waiting.get(id);
    if (request == null) {
      return false;
    }
    remove(request);
    return true;
  }

  /**
   * Removes and returns the requests that can no longer meet their deadline. Call it about every
   * 100 ms, and whenever capacity is lost.
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

  /** Returns the total size of the waiting requests in bytes. */
  public long bytes() {
    return bytes;
  }

  /** Returns the number of polled requests that have not completed. */
  public int running() {
    return running.size();
  }

  /** Refuses requests until the forecast lets all remaining ones start in time. */
  private void shed(double slots, long nowMillis, List<Refusal> refusals) {
    List<StartForecast.Running> expectedEnds = new ArrayList<>(running.size());
    for (Dispatched d : running.values()) {
      long endMillis = d.startedAtMillis + d.request.holdMillis();
      // A request that has exceeded its estimate is expected to need another tenth of it.
      long earliestEndMillis = nowMillis + d.request.holdMillis() / 10;
      expectedEnds.add(
          new StartForecast.Running(
              d.request.patienceClass(), Math.max(endMillis, earliestEndMillis)));
    }
    while (!waiting.isEmpty()) {
      List<QueuedRequest> ahead = new ArrayList<>();
      boolean late = false;
      for (StartForecast.Start s :
          StartForecast.of(classes.values(), expectedEnds, shares, slots, nowMillis)) {
        ahead.add(s.request());
        if (s.late()) {
          late = true;
          break;
        }
      }
      if (!late) {
        return;
      }
      QueuedRequest refused = refusedFirst(ahead);
      ErrorKind kind = ahead.size() == 1 ? ErrorKind.DEADLINE_UNREACHABLE : ErrorKind.OVERLOADED;
      refuse(refused, kind, refusals);
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
