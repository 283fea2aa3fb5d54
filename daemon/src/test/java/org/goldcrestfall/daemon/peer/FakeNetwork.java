package org.goldcrestfall.daemon.peer;

import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.common.ManualClock;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;

/** Delivers messages between fake processes on a manual clock and injects seeded faults. */
final class FakeNetwork {

  static final long STEP_MILLIS = 50;

  final ManualClock clock = new ManualClock(1_000_000);
  final Random random;
  final Map<String, Process> running = new TreeMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::dueAtMillis).thenComparingLong(Event::order));
  private final Map<String, Long> extraDelayMillis = new HashMap<>();
  private final Map<String, Boolean> cut = new HashMap<>();
  private long lastOrder;

  /** Share of messages that are delayed by up to 8 s. */
  int latePerMille;

  /** Share of messages that are delivered twice. */
  int duplicatedPerMille;

  /** Share of replies that complete another call of the same caller. */
  int misroutedReplyPerMille;

  /** Size of the largest probe or acknowledgement that is not part of a full exchange. */
  int largestProbeBytes;

  private record Event(long dueAtMillis, long order, Runnable action) {}

  FakeNetwork(long seed) {
    random = new Random(seed);
  }

  void after(long millis, Runnable action) {
    events.add(new Event(clock.nowMillis() + millis, ++lastOrder, action));
  }

  void setCut(String a, String b, boolean value) {
    cut.put(a + ">" + b, value);
    cut.put(b + ">" + a, value);
  }

  void setDelay(String a, String b, long millis) {
    extraDelayMillis.put(a + ">" + b, millis);
    extraDelayMillis.put(b + ">" + a, millis);
  }

  void healLinks() {
    cut.clear();
    extraDelayMillis.clear();
  }

  boolean linked(String a, String b) {
    return !cut.getOrDefault(a + ">" + b, false);
  }

  boolean fast(String a, String b) {
    return linked(a, b) && extraDelayMillis.getOrDefault(a + ">" + b, 0L) == 0;
  }

  boolean chance(int perMille) {
    return random.nextInt(1000) < perMille;
  }

  /** Advances the clock by one step and runs the events and ticks that are due. */
  void step() {
    clock.advance(STEP_MILLIS);
    while (!events.isEmpty() && events.peek().dueAtMillis() <= clock.nowMillis()) {
      events.poll().action().run();
    }
    for (Process p : List.copyOf(running.values())) {
      p.tick();
    }
  }

  private void deliver(Process from, String to, Consumer<Process> arrival) {
    if (!linked(from.address, to)) {
      return;
    }
    long delay = 1 + random.nextInt(4) + extraDelayMillis.getOrDefault(from.address + ">" + to, 0L);
    if (chance(latePerMille)) {
      delay += random.nextInt(8000);
    }
    for (int copies = chance(duplicatedPerMille) ? 2 : 1; copies > 0; copies--) {
      after(
          delay + (copies - 1) * random.nextInt(3000),
          () -> {
            Process p = running.get(to);
            if (p != null) {
              p.execute(() -> arrival.accept(p));
            }
          });
    }
  }

  /** One run of a daemon, with its transport, its only thread and its clock. */
  final class Process implements PeerThreads, PeerTransport {
    final String host;
    final String address;
    private final long clockOffsetMillis = random.nextInt(1_000_000);
    private final Map<Body.KindCase, Handler> handlers = new EnumMap<>(Body.KindCase.class);
    private final Map<Long, CompletableFuture<Body>> calls = new TreeMap<>();
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private Runnable repeated = () -> {};
    private long repeatMillis = 1;
    private long nextRepeatAtMillis;
    private long lastCallId;
    private boolean runningTasks;
    private Incarnation incarnation;
    boolean frozen;

    Process(String host, String address) {
      this.host = host;
      this.address = address;
      incarnation = new Incarnation(host, 0);
      running.put(address, this);
    }

    boolean dead() {
      return running.get(address) != this;
    }

    long nowMillis() {
      return clock.nowMillis() + clockOffsetMillis;
    }

    @Override
    public void execute(Runnable task) {
      tasks.add(task);
      runTasks();
    }

    void runTasks() {
      if (runningTasks || frozen || dead()) {
        return;
      }
      runningTasks = true;
      for (Runnable t = tasks.poll(); t != null; t = tasks.poll()) {
        t.run();
      }
      runningTasks = false;
    }

    @Override
    public void executeStorage(Runnable task) {
      after(
          random.nextInt(40),
          () -> {
            if (!dead()) {
              task.run();
            }
          });
    }

    @Override
    public void scheduleRepeatedly(Runnable task, long intervalMillis) {
      repeated = task;
      repeatMillis = intervalMillis;
    }

    void tick() {
      if (!frozen && clock.nowMillis() >= nextRepeatAtMillis) {
        nextRepeatAtMillis = clock.nowMillis() + repeatMillis;
        execute(repeated);
      }
    }

    /** Resumes after a freeze; at random, buffered input is read before or after the first tick. */
    void resume() {
      frozen = false;
      if (random.nextBoolean()) {
        runTasks();
      }
      tick();
      runTasks();
    }

    @Override
    public void send(String to, Body body) {
      deliver(this, to, p -> p.receive(incarnation, body));
    }

    private void checkSize(Body body) {
      boolean probe = body.hasPing() || body.hasPingRequest() || body.hasAck();
      if (probe && !MembershipCodec.gossipOf(body).getFull()) {
        largestProbeBytes = Math.max(largestProbeBytes, body.getSerializedSize());
      }
    }

    private CompletableFuture<Body> receive(Incarnation sender, Body body) {
      Handler h = handlers.get(body.getKindCase());
      return h == null ? new CompletableFuture<>() : h.handle(sender, body);
    }

    @Override
    public CompletableFuture<Body> call(String to, Body body, long timeoutMillis) {
      CompletableFuture<Body> result = new CompletableFuture<>();
      long id = ++lastCallId;
      checkSize(body);
      calls.put(id, result);
      if (linked(address, to) && !running.containsKey(to)) {
        after(2, () -> execute(() -> fail(id, new ConnectException("refused"))));
        return result;
      }
      after(timeoutMillis, () -> execute(() -> fail(id, new TimeoutException())));
      Incarnation sender = incarnation;
      deliver(
          this,
          to,
          p ->
              p.receive(sender, body)
                  .thenAccept(reply -> p.deliverReply(address, this, id, reply)));
      return result;
    }

    private void deliverReply(String to, Process caller, long id, Body reply) {
      checkSize(reply);
      deliver(
          this,
          to,
          p -> {
            if (p == caller) {
              CompletableFuture<Body> call = calls(caller).remove(caller.callForReply(id));
              if (call != null) {
                call.complete(reply);
              }
            }
          });
    }

    private Map<Long, CompletableFuture<Body>> calls(Process p) {
      return p.calls;
    }

    /** Returns the id of the call that the reply to call {@code id} completes. */
    private long callForReply(long id) {
      if (!chance(misroutedReplyPerMille) || calls.isEmpty()) {
        return id;
      }
      List<Long> ids = new ArrayList<>(calls.keySet());
      return ids.get(random.nextInt(ids.size()));
    }

    private void fail(long id, Exception e) {
      CompletableFuture<Body> call = calls.remove(id);
      if (call != null) {
        call.completeExceptionally(e);
      }
    }

    @Override
    public void registerHandler(Body.KindCase kind, Handler handler) {
      handlers.put(kind, handler);
    }

    @Override
    public void setIncarnation(Incarnation i) {
      incarnation = i;
    }

    @Override
    public void close() {
      running.remove(address, this);
    }
  }
}
