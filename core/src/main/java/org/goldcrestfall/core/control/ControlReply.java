package org.goldcrestfall.core.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.goldcrestfall.core.common.ErrorKind;

/** The reply of the control state to a command. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ControlReply.Registered.class, name = "registered"),
  @JsonSubTypes.Type(value = ControlReply.Planned.class, name = "planned"),
  @JsonSubTypes.Type(value = ControlReply.Granted.class, name = "granted"),
  @JsonSubTypes.Type(value = ControlReply.Settled.class, name = "settled"),
  @JsonSubTypes.Type(value = ControlReply.Booked.class, name = "booked"),
  @JsonSubTypes.Type(value = ControlReply.Done.class, name = "done"),
  @JsonSubTypes.Type(value = ControlReply.Refused.class, name = "refused")
})
public sealed interface ControlReply {

  /** The boot number of a registered host. */
  record Registered(long boot) implements ControlReply {}

  /** A plan in its current state. */
  record Planned(Plan plan) implements ControlReply {}

  /**
   * Tokens granted under a number, 0 where the budget has no unallotted rest, and the unallotted
   * rest after the grant.
   */
  record Granted(long number, long tokens, long unallotted) implements ControlReply {}

  /** For each record of the batch, in order, whether this batch charged it. */
  record Settled(long batch, List<Boolean> charged) implements ControlReply {

    /** Copies the list. */
    public Settled {
      charged = List.copyOf(charged);
    }
  }

  /**
   * The booking; {@code startedNow} is true only for the router and attempt whose command created
   * the record, on the first reply and on repeated ones while the outcome is {@code STARTED}.
   */
  record Booked(Booking booking, boolean startedNow) implements ControlReply {}

  /** Applied, nothing to say. */
  record Done() implements ControlReply {}

  /** Refused; the state did not change. */
  record Refused(ErrorKind kind, String message) implements ControlReply {}
}
