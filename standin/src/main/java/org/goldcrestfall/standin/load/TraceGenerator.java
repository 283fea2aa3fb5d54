package org.goldcrestfall.standin.load;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.goldcrestfall.standin.answer.Message;
import org.goldcrestfall.standin.answer.Prompt;

/**
 * Generates a trace with Poisson arrivals, that is, exponentially distributed intervals. The same
 * options and seed give the same trace.
 */
final class TraceGenerator {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final int ITEM_COUNT = 200;
  private static final String[] WORDS = {
    "hull", "cedar", "boom", "plan", "bench", "sand", "lash", "float", "paddle", "tide", "lemon",
    "stand", "kit", "permit", "price", "dealer", "season", "ship", "stock", "photo"
  };

  /** A patience class with the cumulative share of it and all classes before it. */
  private record ClassShare(String name, double cumulativeShare) {}

  private final LoadOptions options;
  private final UniformRandomProvider random;
  private final List<ClassShare> classes;
  private final List<Message> prefixes = new ArrayList<>();
  private double offsetNanos;
  private int nextIndex;

  TraceGenerator(LoadOptions options) {
    this.options = options;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(options.seed);
    this.classes = parseClassShares(options.classShares);
    for (int i = 0; i < options.prefixes && options.prefixBytes > 0; i++) {
      prefixes.add(new Message("system", drawText(options.prefixBytes)));
    }
  }

  TraceEntry next() {
    offsetNanos += -Math.log1p(-random.nextDouble()) / options.requestsPerSecond * NANOS_PER_SECOND;
    TraceEntry.Kind kind = drawKind();
    boolean chat = kind == TraceEntry.Kind.STREAM || kind == TraceEntry.Kind.PLAIN;
    int index = nextIndex++;
    return new TraceEntry(
        (long) offsetNanos,
        options.idempotencyKeyPrefix + "-" + options.seed + "-" + index,
        kind,
        drawPatienceClass(),
        index % options.keys.size(),
        chat ? drawPrompt(index) : new Prompt(List.of()),
        chat ? 1 + random.nextInt(options.maxTokens) : 0,
        chat ? "" : "item-" + random.nextInt(ITEM_COUNT));
  }

  /** Parses shares such as {@code quick=3} into cumulative shares, of which the last is 1. */
  private static List<ClassShare> parseClassShares(List<String> texts) {
    double total = 0;
    List<ClassShare> cumulative = new ArrayList<>();
    for (String text : texts) {
      int equals = text.indexOf('=');
      if (equals < 0) {
        throw new IllegalArgumentException("--classes: " + text + ", expected NAME=SHARE");
      }
      total += Double.parseDouble(text.substring(equals + 1));
      cumulative.add(new ClassShare(text.substring(0, equals), total));
    }
    double sum = total;
    return cumulative.stream()
        .map(c -> new ClassShare(c.name(), c.cumulativeShare() / sum))
        .toList();
  }

  private TraceEntry.Kind drawKind() {
    double draw = random.nextDouble();
    if (draw < options.lookupShare) {
      return TraceEntry.Kind.LOOKUP;
    }
    if (draw < options.lookupShare + options.bookingShare) {
      return TraceEntry.Kind.BOOKING;
    }
    return random.nextDouble() < options.streamedShare
        ? TraceEntry.Kind.STREAM
        : TraceEntry.Kind.PLAIN;
  }

  private String drawPatienceClass() {
    double draw = random.nextDouble();
    for (ClassShare share : classes) {
      if (draw < share.cumulativeShare()) {
        return share.name();
      }
    }
    return classes.get(classes.size() - 1).name();
  }

  private Prompt drawPrompt(int index) {
    // The index makes every prompt unique, and thus every answer.
    String question = index + ": " + drawText(1 + random.nextInt(2 * options.promptBytes));
    Message user = new Message("user", question);
    return prefixes.isEmpty()
        ? new Prompt(List.of(user))
        : new Prompt(List.of(prefixes.get(random.nextInt(prefixes.size())), user));
  }

  private String drawText(int bytes) {
    StringBuilder text = new StringBuilder(bytes + 16);
    while (text.length() < bytes) {
      text.append(WORDS[random.nextInt(WORDS.length)]).append(' ');
    }
    return text.toString().strip();
  }
}
