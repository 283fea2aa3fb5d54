package org.goldcrestfall.standin.upstream;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The JSON body of {@code POST /v1/upstreams/announce}. The {@code incarnation} grows with each
 * restart of the process, the {@code sequence} with each announcement. Null fields are left out.
 */
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

  /** The number of running and waiting requests and of slots, and the age of these values. */
  public record Load(
      int running, int waiting, int slots, @JsonProperty("age_millis") long ageMillis) {}

  /** A prefix that was stored in the cache or evicted from it. */
  public record CacheEvent(long sequence, String prefix, boolean stored) {}
}
