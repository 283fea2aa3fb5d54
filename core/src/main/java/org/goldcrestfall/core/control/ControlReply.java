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

  /** The boot number issued to the registered incarnation. */
  record Registered(long boot) implements ControlReply {}

  /** A plan in its current state. */
  record Planned(Plan plan) implements ControlReply {}

  /**
   * The tokens granted under a grant number, 0 if the budget has no unallotted tokens, and the
   * unallotted tokens of the budget after the grant.
   */
  record Granted(long number, long tokens, long unallotted) implements ControlReply {}

  /** The result of a batch: for each billing record, in order, whether this batch charged it. */
  record Settled(long batch, List<Boolean> charged) implements ControlReply {

    /** Copies the list. */
    public Settled {
      charged = List.copyOf(charged);
    }
  }

  /**
   * The booking in its current state. {@code startedNow} is true only in replies to the attempt
   * that started the booking, including repeated ones, while its outcome is {@code STARTED}.
   */
  record Booked(Booking booking, boolean startedNow) implements ControlReply {}

  /** The command was applied; there is no further result. */
  record Done() implements ControlReply {}

  /** The command was refused, with the error kind and a message for the caller. */
  record Refused(ErrorKind kind, String message) implements ControlReply {}
}
