package org.goldcrestfall.daemon.storage;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.Splitter;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.goldcrestfall.core.consensus.Effect;
import org.goldcrestfall.core.consensus.Entry;
import org.goldcrestfall.core.consensus.HardState;
import org.goldcrestfall.core.consensus.Members;
import org.goldcrestfall.core.consensus.PersistentState;
import org.goldcrestfall.core.consensus.Snapshot;

/** Stores the durable state of one member: identity, term and vote, log and latest snapshot. */
public final class DataFolder implements Closeable {

  private static final String IDENTITY = "identity";
  private static final String VOTE = "vote";
  private static final String SNAPSHOT_PREFIX = "snapshot-";
  private static final String QUARANTINE_PREFIX = "damaged-";
  private static final String TEMPORARY_SUFFIX = ".tmp";

  private final Disk disk;
  private final SegmentedLog log;

  /** Uses the files of a disk, with log segments of the default size. */
  public DataFolder(Disk disk) {
    this(disk, SegmentedLog.DEFAULT_SEGMENT_BYTES);
  }

  /**
   * Uses the files of a disk.
   *
   * @param segmentBytes the size from which a log segment is closed and a new one is started
   */
  public DataFolder(Disk disk, long segmentBytes) {
    this.disk = disk;
    log = new SegmentedLog(disk, segmentBytes);
  }

  /** Reads the identity; empty if the disk is new or has been replaced. */
  public Optional<Identity> identity() throws IOException {
    return AtomicFile.read(disk, IDENTITY).map(b -> Identity.parse(new String(b, UTF_8)));
  }

  /** Replaces the identity; it is durable when this method returns. */
  public void writeIdentity(Identity identity) throws IOException {
    AtomicFile.write(disk, IDENTITY, identity.toString().getBytes(UTF_8));
  }

  /**
   * Reads the vote, the latest snapshot and the log entries after it. Must be called once, before
   * any write.
   *
   * @throws DamagedDataException if data that had been synced is unreadable
   */
  public PersistentState load() throws IOException {
    for (String name : disk.list()) {
      if (name.endsWith(TEMPORARY_SUFFIX)) {
        disk.delete(name);
      }
    }
    HardState hardState =
        AtomicFile.read(disk, VOTE).map(DataFolder::parseVote).orElse(HardState.INITIAL);
    Snapshot snapshot = newestSnapshot();
    List<Entry> entries = log.load(snapshot.lastIndex());
    if (entries.isEmpty()) {
      if (log.lastIndex() < snapshot.lastIndex()) {
        log.reset(snapshot.lastIndex());
      } else if (log.lastIndex() > snapshot.lastIndex()) {
        throw missingLogStart(log.lastIndex() + 1, snapshot);
      }
      return new PersistentState(hardState, snapshot, List.of());
    }
    long first = entries.get(0).index();
    if (first > snapshot.lastIndex() + 1) {
      throw missingLogStart(first, snapshot);
    }
    int coveredCount = (int) (snapshot.lastIndex() - first + 1);
    boolean logMatchesSnapshot =
        coveredCount == 0
            || coveredCount <= entries.size()
                && entries.get(coveredCount - 1).term() == snapshot.lastTerm();
    if (!logMatchesSnapshot) {
      // The snapshot was installed from the leader and replaces the log, but the process ended
      // before it had deleted the log.
      log.reset(snapshot.lastIndex());
      return new PersistentState(hardState, snapshot, List.of());
    }
    return new PersistentState(
        hardState, snapshot, List.copyOf(entries.subList(coveredCount, entries.size())));
  }

  private static DamagedDataException missingLogStart(long first, Snapshot snapshot) {
    return new DamagedDataException(
        SegmentedLog.PREFIX + first, 0, snapshot.lastIndex() + 1, "the log before it is missing");
  }

  /**
   * Writes a batch with a single sync of the log. After an exception the call can be repeated with
   * the same batch, or with a batch that starts with the same writes.
   */
  public void write(List<Effect.Persist> batch) throws IOException {
    HardState hardState = null;
    Snapshot snapshot = null;
    long firstIndex = 0;
    List<Entry> entries = new ArrayList<>();
    for (Effect.Persist p : batch) {
      hardState = p.hardState() == null ? hardState : p.hardState();
      if (p.snapshot() != null) {
        snapshot = p.snapshot();
        entries.clear();
        firstIndex = 0;
      } else if (p.firstIndex() > 0) {
        entries.removeIf(e -> e.index() >= p.firstIndex());
        firstIndex = firstIndex == 0 ? p.firstIndex() : Math.min(firstIndex, p.firstIndex());
        entries.addAll(p.entries());
      }
    }
    if (hardState != null) {
      writeVote(hardState);
    }
    if (snapshot != null) {
      writeSnapshot(snapshot);
      log.reset(snapshot.lastIndex());
    }
    if (firstIndex > 0) {
      log.write(firstIndex, entries);
    }
  }

  /**
   * Writes a snapshot of this member's state and deletes older snapshots and the log segments that
   * it covers.
   */
  public void compact(Snapshot snapshot) throws IOException {
    writeSnapshot(snapshot);
    log.deleteThrough(snapshot.lastIndex());
  }

  /** Writes the snapshot with the initial members of a new group. */
  public void writeInitialSnapshot(Snapshot snapshot) throws IOException {
    writeSnapshot(snapshot);
  }

  /**
   * Renames all files to {@code damaged-N-NAME}, so that the member can start with an empty folder
   * and the damaged files can be examined.
   */
  public static void quarantine(Disk disk) throws IOException {
    List<String> names = disk.list();
    int number = 1;
    while (hasPrefix(names, QUARANTINE_PREFIX + number + "-")) {
      number++;
    }
    // The identity is renamed first: after a crash in between, the member starts with a new
    // identity and so never votes under the old one with the files that remain.
    if (names.contains(IDENTITY)) {
      disk.rename(IDENTITY, QUARANTINE_PREFIX + number + "-" + IDENTITY);
      disk.syncFolder();
    }
    for (String name : names) {
      if (!name.startsWith(QUARANTINE_PREFIX) && !name.equals(IDENTITY)) {
        disk.rename(name, QUARANTINE_PREFIX + number + "-" + name);
      }
    }
    disk.syncFolder();
  }

  private static boolean hasPrefix(List<String> names, String prefix) {
    return names.stream().anyMatch(n -> n.startsWith(prefix));
  }

  private void writeVote(HardState state) throws IOException {
    AtomicFile.write(disk, VOTE, (state.term() + " " + state.vote()).getBytes(UTF_8));
  }

  private static HardState parseVote(byte[] bytes) {
    List<String> fields = Splitter.on(' ').limit(2).splitToList(new String(bytes, UTF_8));
    return new HardState(Long.parseLong(fields.get(0)), fields.get(1));
  }

  private void writeSnapshot(Snapshot snapshot) throws IOException {
    byte[] members = snapshot.members().toBytes();
    ByteBuffer bytes = ByteBuffer.allocate(12 + members.length + snapshot.data().length);
    bytes.putLong(snapshot.lastTerm()).putInt(members.length).put(members).put(snapshot.data());
    String name = SNAPSHOT_PREFIX + "%020d".formatted(snapshot.lastIndex());
    AtomicFile.write(disk, name, bytes.array());
    for (String other : disk.list()) {
      if (other.startsWith(SNAPSHOT_PREFIX) && other.compareTo(name) < 0) {
        disk.deleteLater(other);
      }
    }
  }

  private Snapshot newestSnapshot() throws IOException {
    List<String> names = disk.list().stream().filter(n -> n.startsWith(SNAPSHOT_PREFIX)).toList();
    if (names.isEmpty()) {
      return Snapshot.initial(Members.NONE);
    }
    String name = names.get(names.size() - 1);
    ByteBuffer bytes = ByteBuffer.wrap(AtomicFile.read(disk, name).orElseThrow());
    final long term = bytes.getLong();
    byte[] members = new byte[bytes.getInt()];
    bytes.get(members);
    byte[] data = new byte[bytes.remaining()];
    bytes.get(data);
    long index = Long.parseLong(name.substring(SNAPSHOT_PREFIX.length()));
    return new Snapshot(index, term, Members.fromBytes(members), data);
  }

  /** Closes the log and leaves the disk open. */
  public void closeLog() throws IOException {
    log.close();
  }

  @Override
  public void close() throws IOException {
    log.close();
    disk.close();
  }
}
