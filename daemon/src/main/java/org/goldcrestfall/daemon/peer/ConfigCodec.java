package org.goldcrestfall.daemon.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.goldcrestfall.core.config.ConfigUpdate;
import org.goldcrestfall.core.control.ConfigChange;
import org.goldcrestfall.core.control.ConfigView;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.ConfigReply;
import org.goldcrestfall.wire.generated.ConfigRequest;

/** Encodes and decodes configuration messages and the JSON of configurations. */
final class ConfigCodec {

  /** Ignores unknown fields of newer versions, so that daemons can be upgraded one by one. */
  private static final JsonMapper JSON =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private ConfigCodec() {}

  static byte[] toJson(Object value) {
    try {
      return JSON.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot be serialized as JSON: " + value.getClass(), e);
    }
  }

  static ConfigView readView(byte[] json) throws IOException {
    return JSON.readValue(json, ConfigView.class);
  }

  static Body request(long id, long revision) {
    var r = ConfigRequest.newBuilder().setId(id).setRevision(revision);
    return Body.newBuilder().setConfigRequest(r).build();
  }

  static Body reply(ConfigUpdate update) {
    ConfigReply.Builder r =
        ConfigReply.newBuilder()
            .setId(update.id())
            .setRevision(update.revision())
            .setConfirmed(update.confirmed())
            .setConfirmedAgeMillis(update.confirmedAgeMillis());
    for (ConfigChange c : update.changes()) {
      r.addChanges(ByteString.copyFrom(toJson(c)));
    }
    if (update.view() != null) {
      r.setView(ByteString.copyFrom(toJson(update.view())));
    }
    return Body.newBuilder().setConfigReply(r).build();
  }

  static ConfigUpdate update(ConfigReply reply) throws IOException {
    List<ConfigChange> changes = new ArrayList<>();
    for (ByteString c : reply.getChangesList()) {
      changes.add(JSON.readValue(c.toByteArray(), ConfigChange.class));
    }
    ConfigView view = reply.getView().isEmpty() ? null : readView(reply.getView().toByteArray());
    // The age is unsigned on the wire; clamping keeps calculations with it from overflowing.
    long ageMillis = Math.min(reply.getConfirmedAgeMillis() & Long.MAX_VALUE, Integer.MAX_VALUE);
    return new ConfigUpdate(
        reply.getId(), reply.getRevision(), changes, view, reply.getConfirmed(), ageMillis);
  }
}
