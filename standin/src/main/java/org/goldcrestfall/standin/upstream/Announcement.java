package org.goldcrestfall.standin.upstream;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** The body of {@code POST /v1/upstreams/announce}. */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Announcement(
    String name,
    long incarnation,
    long sequence,
    String kind,
    String address,
    String zone,
    String state,
    @JsonProperty("ttl_millis") long ttlMillis,
    List<String> models,
    String service,
    @JsonProperty("checks_fencing") boolean checksFencing,
    Load load,
    @JsonProperty("cache_events") List<CacheEvent> cacheEvents) {

  /** The load, with the age of the report. */
  public record Load(
      int running, int waiting, int slots, @JsonProperty("age_millis") long ageMillis) {}

  /** A prefix that was stored in the cache or evicted from it. */
  public record CacheEvent(long sequence, String prefix, boolean stored) {}
}
