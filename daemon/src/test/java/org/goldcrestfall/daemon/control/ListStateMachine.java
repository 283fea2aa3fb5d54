package org.goldcrestfall.daemon.control;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.Splitter;
import java.util.ArrayList;
import java.util.List;

/**
 * A list of the commands without duplicates. The reply to a command is its position in the list,
 * and the result of every query is the whole list.
 */
final class ListStateMachine implements StateMachine {

  private final List<String> commands = new ArrayList<>();

  @Override
  public byte[] apply(long index, byte[] command) {
    String text = new String(command, UTF_8);
    if (!commands.contains(text)) {
      commands.add(text);
    }
    return Integer.toString(commands.indexOf(text)).getBytes(UTF_8);
  }

  @Override
  public byte[] query(byte[] query) {
    return snapshot();
  }

  @Override
  public byte[] snapshot() {
    return String.join(",", commands).getBytes(UTF_8);
  }

  @Override
  public void restore(byte[] snapshot) {
    commands.clear();
    commands.addAll(Splitter.on(',').omitEmptyStrings().splitToList(new String(snapshot, UTF_8)));
  }
}
