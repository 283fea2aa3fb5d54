package org.goldcrestfall.core.budget;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/**
 * A durable upper bound (watermark) on the tokens of each workspace that this router incarnation
 * has used. It is raised in blocks and written to disk before the use happens, so the next
 * incarnation of the host can prove that all tokens beyond it are unused. The owner writes the
 * result of {@link #nextWrite} to disk, syncs it, and then calls {@link #written}.
 */
public final class BlockWatermark implements UseLimit {

  private final ToLongFunction<String> blockTokens;
  private final TreeMap<String, Long> durable = new TreeMap<>();
  private final TreeMap<String, Long> requested = new TreeMap<>();

  /** Creates an empty watermark with one block size, in tokens, for all workspaces. */
  public BlockWatermark(long blockTokens) {
    this(workspace -> blockTokens);
    checkArgument(blockTokens > 0, "blockTokens must be positive: %s", blockTokens);
  }

  /**
   * Creates an empty watermark with a block size, in tokens, for each workspace. About one block is
   * stranded when the router crashes, so a block should cover a few seconds of demand.
   */
  public BlockWatermark(ToLongFunction<String> blockTokens) {
    this.blockTokens = blockTokens;
  }

  /**
   * Returns whether {@code total} is within the durable watermark. The next block is requested when
   * less than half a block is left, so that it is usually written before it is needed.
   */
  @Override
  public boolean allows(String workspace, long total) {
    long mark = durable.getOrDefault(workspace, 0L);
    long block = Math.max(1, blockTokens.applyAsLong(workspace));
    if (total + block / 2 > mark) {
      requested.merge(workspace, total + block, Math::max);
    }
    return total <= mark;
  }

  /** Returns the durable watermark of a workspace, 0 if none was written. */
  public long durable(String workspace) {
    return durable.getOrDefault(workspace, 0L);
  }

  /**
   * Returns the watermarks of all workspaces, to be written now, or empty if none has to be raised.
   */
  public Optional<Map<String, Long>> nextWrite() {
    TreeMap<String, Long> next = new TreeMap<>(durable);
    requested.forEach((workspace, mark) -> next.merge(workspace, mark, Math::max));
    return next.equals(durable) ? Optional.empty() : Optional.of(next);
  }

  /** Records that the watermarks are durable. */
  public void written(Map<String, Long> marks) {
    marks.forEach((workspace, mark) -> durable.merge(workspace, mark, Math::max));
    requested.entrySet().removeIf(e -> e.getValue() <= durable.getOrDefault(e.getKey(), 0L));
  }
}
