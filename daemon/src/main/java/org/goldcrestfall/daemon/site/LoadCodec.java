package org.goldcrestfall.daemon.site;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.goldcrestfall.core.common.TokenCount;
import org.goldcrestfall.core.dispatch.CachedPart;
import org.goldcrestfall.core.dispatch.PromptPart;
import org.goldcrestfall.core.dispatch.RequestLoad;
import org.goldcrestfall.wire.generated.SentPart;
import org.goldcrestfall.wire.generated.UpstreamShare;

/** Encodes and decodes the load of upstreams in messages between daemons. */
public final class LoadCodec {

  private LoadCodec() {}

  /** Encodes loads and parts, one entry for each upstream. */
  public static List<UpstreamShare> encode(
      Map<String, RequestLoad> loads, List<CachedPart> sentParts) {
    Map<String, UpstreamShare.Builder> shares = new HashMap<>();
    loads.forEach(
        (upstream, load) ->
            shares.put(
                upstream,
                UpstreamShare.newBuilder()
                    .setUpstream(upstream)
                    .setRunning(load.running())
                    .setBacklog(load.backlog())));
    for (CachedPart p : sentParts) {
      shares
          .computeIfAbsent(p.upstream(), u -> UpstreamShare.newBuilder().setUpstream(u))
          .addParts(
              SentPart.newBuilder().setId(p.part().id()).setTokens(p.part().tokens().value()));
    }
    List<UpstreamShare> encoded = new ArrayList<>(shares.size());
    shares.values().forEach(s -> encoded.add(s.build()));
    return encoded;
  }

  /** Returns the loads that are not zero, by upstream. */
  public static Map<String, RequestLoad> decodeLoads(List<UpstreamShare> shares) {
    Map<String, RequestLoad> loads = new HashMap<>();
    for (UpstreamShare s : shares) {
      if (s.getRunning() != 0 || s.getBacklog() != 0) {
        loads.put(
            s.getUpstream(),
            new RequestLoad(Math.max(0, s.getRunning()), TokenCount.clamp(s.getBacklog())));
      }
    }
    return loads;
  }

  /** Returns the parts of all upstreams. */
  public static List<CachedPart> decodeParts(List<UpstreamShare> shares) {
    List<CachedPart> parts = new ArrayList<>();
    for (UpstreamShare s : shares) {
      for (var p : s.getPartsList()) {
        parts.add(
            new CachedPart(
                s.getUpstream(),
                new PromptPart(p.getId(), TokenCount.of(Math.max(0, p.getTokens())))));
      }
    }
    return parts;
  }
}
