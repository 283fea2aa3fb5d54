package org.goldcrestfall.core.membership;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.google.common.base.Strings;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.util.List;

/**
 * State that an upstream announces to the routers, as design section 6 specifies. Announcements
 * with the same name are ordered by incarnation, then sequence. The constructors throw {@link
 * IllegalArgumentException} for an invalid field, with a message of the form {@code path: value,
 * expected ...}.
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record UpstreamAnnouncement(
    @JsonProperty("name") String name,
    @JsonProperty("incarnation") long incarnation,
    @JsonProperty("sequence") long sequence,
    @JsonProperty("kind") Kind kind,
    @JsonProperty("address") String address,
    @JsonProperty("zone") String zone,
    @JsonProperty("state") State state,
    @JsonProperty("ttl_millis") long ttlMillis,
    @JsonProperty("models") List<String> models,
    @JsonProperty("service") String service,
    @JsonProperty("checks_fencing") boolean checksFencing,
    @JsonProperty("load") Load load,
    @JsonProperty("cache_events") List<CacheEvent> cacheEvents) {

  /** Time to live of an announcement that does not specify one. */
  public static final long DEFAULT_TTL_MILLIS = 4000;

  /**
   * Maximum time to live. It bounds how long a router that receives no more announcements keeps
   * sending requests to the upstream.
   */
  public static final long MAX_TTL_MILLIS = 5000;

  private static final int MAX_NAME_LENGTH = 128;
  private static final int MAX_MODELS = 64;
  private static final int MAX_CACHE_EVENTS = 1024;

  /** Type of an upstream. */
  public enum Kind {
    /** Serves models. */
    @JsonProperty("engine")
    ENGINE,
    /** Provides a named service. */
    @JsonProperty("service")
    SERVICE
  }

  /** Whether an upstream accepts new requests. */
  public enum State {
    /** Accepts new requests. */
    @JsonProperty("ready")
    READY,
    /** Completes its running requests and accepts no new ones. */
    @JsonProperty("leaving")
    LEAVING
  }

  /**
   * Load of an upstream.
   *
   * @param running number of running requests
   * @param waiting number of queued requests
   * @param slots number of requests that the upstream can run at the same time
   * @param ageMillis age of these numbers when the announcement was sent
   */
  public record Load(
      @JsonProperty("running") long running,
      @JsonProperty("waiting") long waiting,
      @JsonProperty("slots") long slots,
      @JsonProperty("age_millis") long ageMillis) {

    /** Load of an upstream that does not report its load. */
    public static final Load NONE = new Load(0, 0, 0, 0);

    /** Checks that no number is negative. */
    public Load {
      expect(running >= 0, "load.running", running, "0 or more");
      expect(waiting >= 0, "load.waiting", waiting, "0 or more");
      expect(slots >= 0, "load.slots", slots, "0 or more");
      expect(ageMillis >= 0, "load.age_millis", ageMillis, "0 or more");
    }
  }

  /**
   * The addition of a prompt prefix to the cache of an engine, or its removal.
   *
   * @param sequence number that orders the events of an engine, possibly with gaps
   * @param prefix identifier of the prompt prefix
   * @param stored whether the prefix was added
   */
  public record CacheEvent(
      @JsonProperty("sequence") long sequence,
      @JsonProperty("prefix") String prefix,
      @JsonProperty("stored") boolean stored) {

    /** Checks the arguments. */
    public CacheEvent {
      expect(sequence >= 0, "cache_events.sequence", sequence, "0 or more");
      expectText("cache_events.prefix", prefix);
    }
  }

  /** Checks the fields and sets missing ones to their defaults. */
  public UpstreamAnnouncement {
    expectText("name", name);
    expect(incarnation >= 0, "incarnation", incarnation, "0 or more");
    expect(sequence >= 0, "sequence", sequence, "0 or more");
    expect(kind != null, "kind", kind, "engine or service");
    expect(isIpAddressWithPort(address), "address", address, "an IP address and port");
    zone = Strings.nullToEmpty(zone);
    expect(zone.length() <= MAX_NAME_LENGTH, "zone", zone, "at most 128 characters");
    state = state == null ? State.READY : state;
    ttlMillis = ttlMillis == 0 ? DEFAULT_TTL_MILLIS : ttlMillis;
    expect(ttlMillis > 0 && ttlMillis <= MAX_TTL_MILLIS, "ttl_millis", ttlMillis, "1 to 5000");
    models = models == null ? List.of() : List.copyOf(models);
    expect(models.size() <= MAX_MODELS, "models", models.size(), "at most 64 models");
    models.forEach(m -> expectText("models", m));
    service = Strings.nullToEmpty(service);
    if (kind == Kind.SERVICE) {
      expectText("service", service);
    }
    load = load == null ? Load.NONE : load;
    cacheEvents = cacheEvents == null ? List.of() : List.copyOf(cacheEvents);
    int events = cacheEvents.size();
    expect(events <= MAX_CACHE_EVENTS, "cache_events", events, "at most 1024 events");
  }

  /** Returns whether this announcement is newer than {@code other} of the same name. */
  public boolean newerThan(UpstreamAnnouncement other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    return sequence > other.sequence;
  }

  /**
   * Returns the announcement without cache events. These are soft state, so receivers do not depend
   * on them.
   */
  public UpstreamAnnouncement withoutCacheEvents() {
    return cacheEvents.isEmpty()
        ? this
        : new UpstreamAnnouncement(
            name,
            incarnation,
            sequence,
            kind,
            address,
            zone,
            state,
            ttlMillis,
            models,
            service,
            checksFencing,
            load,
            List.of());
  }

  private static boolean isIpAddressWithPort(String address) {
    try {
      HostAndPort a = HostAndPort.fromString(Strings.nullToEmpty(address));
      return a.hasPort() && a.getPort() > 0 && InetAddresses.isInetAddress(a.getHost());
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  private static void expectText(String path, String text) {
    boolean ok = text != null && !text.isEmpty() && text.length() <= MAX_NAME_LENGTH;
    expect(ok, path, text, "1 to 128 characters");
  }

  private static void expect(boolean ok, String path, Object value, String expected) {
    checkArgument(ok, "%s: %s, expected %s", path, value, expected);
  }
}
