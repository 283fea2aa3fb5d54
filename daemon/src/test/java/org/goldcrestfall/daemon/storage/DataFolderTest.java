package org.goldcrestfall.daemon.storage;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.goldcrestfall.core.consensus.Effect;
import org.goldcrestfall.core.consensus.Entry;
import org.goldcrestfall.core.consensus.HardState;
import org.goldcrestfall.core.consensus.Members;
import org.goldcrestfall.core.consensus.PersistentState;
import org.goldcrestfall.core.consensus.Snapshot;

/** Guards against the loss of synced data and against the use of damaged data. */
class DataFolderTest {

  private static final long SEGMENT_BYTES = 400;

  private final FakeDisk disk = new FakeDisk();
  private long sequence;

  private static Entry entry(long term, long index) {
    byte[] payload = ("command " + term + "/" + index + " ").repeat(3).getBytes(UTF_8);
    return new Entry(term, index, Entry.Type.COMMAND, payload);
  }

  private static List<Entry> entries(long term, long first, long last) {
    return LongStream.rangeClosed(first, last).mapToObj(i -> entry(term, i)).toList();
  }

  private Effect.Persist append(List<Entry> entries) {
    return new Effect.Persist(++sequence, null, null, entries.get(0).index(), entries);
  }

  private DataFolder open() throws IOException {
    return new DataFolder(disk, SEGMENT_BYTES);
  }

  private PersistentState reload() throws IOException {
    return open().load();
  }

  private DataFolder folderWithBatches(int batches) throws IOException {
    DataFolder folder = open();
    folder.load();
    for (int i = 0; i < batches; i++) {
      folder.write(List.of(append(entries(1, 2L * i + 1, 2L * i + 2))));
    }
    return folder;
  }

  @Example
  void entriesAndVoteAreReadBack() throws IOException {
    DataFolder folder = folderWithBatches(10);
    folder.write(
        List.of(new Effect.Persist(++sequence, new HardState(7, "a#1"), null, 0, List.of())));
    PersistentState persistentState = reload();
    assertThat(persistentState.entries()).isEqualTo(entries(1, 1, 20));
    assertThat(persistentState.hardState()).isEqualTo(new HardState(7, "a#1"));
  }

  @Example
  void conflictingEntriesAreRemovedAcrossSegments() throws IOException {
    DataFolder folder = folderWithBatches(10);
    folder.write(List.of(append(entries(2, 5, 6)), append(entries(3, 6, 8))));
    List<Entry> expected = new ArrayList<>(entries(1, 1, 4));
    expected.add(entry(2, 5));
    expected.addAll(entries(3, 6, 8));
    assertThat(reload().entries()).isEqualTo(expected);
  }

  @Example
  void tornTailIsTruncatedAndEntriesCanBeAppended() throws IOException {
    folderWithBatches(3);
    String last = lastSegment();
    int size = disk.read(last).length;
    disk.open(last).truncate(size - 5);
    DataFolder folder = open();
    assertThat(folder.load().entries()).isEqualTo(entries(1, 1, 5));
    folder.write(List.of(append(entries(2, 6, 7))));
    assertThat(reload().entries()).hasSize(7).endsWith(entry(2, 6), entry(2, 7));
  }

  private String lastSegment() {
    return disk.list().stream().filter(n -> n.startsWith("log-")).reduce("", (a, b) -> b);
  }

  @Example
  void damageBeforeLaterBatchIsReportedWithItsPosition() throws IOException {
    folderWithBatches(2);
    disk.damage(lastSegment(), 130);
    DamagedDataException e = catchThrowableOfType(DamagedDataException.class, this::reload);
    assertThat(e.file()).isEqualTo("log-00000000000000000001");
    assertThat(e.index()).isEqualTo(2);
    assertThat(e.offset()).isBetween(1L, 130L);
    assertThat(e).hasMessageContaining("offset " + e.offset() + ", index 2");
  }

  @Example
  void damageInClosedSegmentIsReported() throws IOException {
    folderWithBatches(10);
    String first = disk.list().get(0);
    disk.damage(first, disk.read(first).length - 3);
    assertThatThrownBy(this::reload)
        .isInstanceOf(DamagedDataException.class)
        .hasMessageContaining(first);
  }

  @Example
  void missingSegmentIsReported() throws IOException {
    folderWithBatches(20);
    disk.delete(disk.list().get(1));
    assertThatThrownBy(this::reload)
        .isInstanceOf(DamagedDataException.class)
        .hasMessageContaining("missing");
  }

  @Example
  void damagedVoteOrSnapshotIsReported() throws IOException {
    DataFolder folder = folderWithBatches(3);
    folder.write(
        List.of(new Effect.Persist(++sequence, new HardState(2, "b"), null, 0, List.of())));
    disk.damage("vote", 5);
    assertThatThrownBy(this::reload).isInstanceOf(DamagedDataException.class);
    // Inverting the same bits again repairs the file.
    disk.damage("vote", 5);
    folder.compact(new Snapshot(4, 1, Members.NONE, "state".getBytes(UTF_8)));
    disk.damage("snapshot-00000000000000000004", 20);
    assertThatThrownBy(this::reload)
        .isInstanceOf(DamagedDataException.class)
        .hasMessageContaining("snapshot-");
  }

  @Example
  void snapshotReplacesTheLogThatItCovers() throws IOException {
    DataFolder folder = folderWithBatches(20);
    folder.compact(new Snapshot(31, 1, Members.NONE, "state".getBytes(UTF_8)));
    PersistentState persistentState = reload();
    assertThat(new String(persistentState.snapshot().data(), UTF_8)).isEqualTo("state");
    assertThat(persistentState.entries()).isEqualTo(entries(1, 32, 40));
    disk.delete("log-00000000000000000001");
    assertThat(reload().entries()).isEqualTo(entries(1, 32, 40));
  }

  @Example
  void installedSnapshotReplacesTheWholeLog() throws IOException {
    DataFolder folder = folderWithBatches(5);
    Snapshot installed = new Snapshot(100, 4, Members.NONE, new byte[3]);
    folder.write(
        List.of(
            append(entries(2, 11, 12)),
            new Effect.Persist(++sequence, null, installed, 0, List.of()),
            append(entries(4, 101, 103))));
    PersistentState persistentState = reload();
    assertThat(persistentState.snapshot().lastIndex()).isEqualTo(100);
    assertThat(persistentState.entries()).isEqualTo(entries(4, 101, 103));
  }

  @Example
  void batchIsCoveredByOneSync() throws IOException {
    DataFolder folder = folderWithBatches(1);
    int before = disk.syncCount();
    folder.write(List.of(append(entries(1, 3, 3)), append(entries(1, 4, 4))));
    assertThat(disk.syncCount()).isEqualTo(before + 1);
  }

  @Example
  void fullDiskKeepsSyncedEntriesAndAcceptsBatchLater() throws IOException {
    DataFolder folder = folderWithBatches(3);
    List<Effect.Persist> batch =
        List.of(
            new Effect.Persist(++sequence, new HardState(3, "c"), null, 0, List.of()),
            append(entries(3, 7, 20)));
    disk.setCapacity(disk.usedBytes() + 100);
    assertThatThrownBy(() -> folder.write(batch)).hasMessageContaining("No space left");
    assertThat(reload().entries()).startsWith(entries(1, 1, 6).toArray(Entry[]::new));
    disk.setCapacity(Long.MAX_VALUE);
    folder.write(batch);
    assertThat(reload().entries()).hasSize(20).endsWith(entry(3, 20));
    assertThat(reload().hardState()).isEqualTo(new HardState(3, "c"));
  }

  @Example
  void entriesOfFailedBatchDoNotReappearAfterShorterBatch() throws IOException {
    DataFolder folder = folderWithBatches(1);
    disk.failNextSyncs(1);
    assertThatThrownBy(() -> folder.write(List.of(append(entries(2, 3, 6)))))
        .hasMessageContaining("Input/output error");
    folder.write(List.of(append(entries(3, 3, 3))));
    assertThat(reload().entries()).hasSize(3).endsWith(entry(3, 3));
  }

  @Example
  void quarantineLeavesAnEmptyFolder() throws IOException {
    DataFolder folder = folderWithBatches(3);
    folder.writeIdentity(new Identity("a#1", false));
    DataFolder.quarantine(disk);
    assertThat(open().identity()).isEmpty();
    assertThat(reload().entries()).isEmpty();
    assertThat(disk.list()).isNotEmpty().allMatch(n -> n.startsWith("damaged-1-"));
  }

  @Example
  void folderInUseCannotBeOpenedAgain() throws IOException {
    Path path = Files.createTempDirectory("data-folder");
    try (FolderDisk first = new FolderDisk(path)) {
      assertThat(first.list()).isEmpty();
      assertThatThrownBy(() -> new FolderDisk(path)).hasMessageContaining("in use");
    }
    new FolderDisk(path).close();
  }

  /**
   * Guards against the loss of synced entries or votes after crashes, failed syncs and a full disk.
   */
  @Property(tries = 300, seed = "4101", shrinking = ShrinkingMode.OFF)
  void syncedDataSurvivesCrashesAndFailedSyncs(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    FakeDisk crashing = new FakeDisk();
    DataFolder folder = new DataFolder(crashing, SEGMENT_BYTES);
    folder.load();
    Snapshot snapshot = Snapshot.initial(Members.NONE);
    List<Entry> synced = new ArrayList<>();
    HardState vote = HardState.INITIAL;
    for (int i = 1; i < 60; i++) {
      if (random.nextInt(5) == 0 && !synced.isEmpty()) {
        int covered = 1 + random.nextInt(synced.size());
        Entry last = synced.get(covered - 1);
        snapshot = new Snapshot(last.index(), last.term(), Members.NONE, new byte[i]);
        folder.compact(snapshot);
        synced = new ArrayList<>(synced.subList(covered, synced.size()));
      }
      if (random.nextInt(12) == 0) {
        long installed = snapshot.lastIndex() + synced.size() + 1 + random.nextInt(9);
        snapshot = new Snapshot(installed, i, Members.NONE, new byte[i]);
        folder.write(List.of(new Effect.Persist(++sequence, null, snapshot, 0, List.of())));
        synced.clear();
      }
      int kept = synced.size() - (random.nextInt(3) == 0 ? random.nextInt(4) : 0);
      kept = Math.max(0, kept);
      long first = snapshot.lastIndex() + kept + 1;
      List<Entry> added = entries(i, first, first + random.nextInt(5));
      HardState next = random.nextInt(4) == 0 ? new HardState(i, "h" + i) : null;
      List<Effect.Persist> batch =
          List.of(new Effect.Persist(++sequence, next, null, first, added));
      int fault = random.nextInt(6);
      if (fault == 0) {
        crashing.failNextSyncs(1 + random.nextInt(2));
      } else if (fault == 1) {
        crashing.setCapacity(crashing.usedBytes() + random.nextInt(300));
      }
      boolean written = tryWrite(folder, batch);
      crashing.failNextSyncs(0);
      crashing.setCapacity(Long.MAX_VALUE);
      if (!written && random.nextBoolean()) {
        written = tryWrite(folder, batch);
        assertThat(written).isTrue();
      }
      if (written) {
        synced = new ArrayList<>(synced.subList(0, kept));
        synced.addAll(added);
        vote = next == null ? vote : next;
        kept = synced.size();
      }
      if (!written || random.nextInt(3) == 0) {
        crashing.crash(random);
        folder = new DataFolder(crashing, SEGMENT_BYTES);
        PersistentState persistentState = folder.load();
        assertThat(persistentState.snapshot().lastIndex()).isEqualTo(snapshot.lastIndex());
        assertThat(persistentState.entries()).hasSizeGreaterThanOrEqualTo(kept);
        assertThat(persistentState.entries().subList(0, kept)).isEqualTo(synced.subList(0, kept));
        assertThat(persistentState.hardState()).isIn(vote, next == null ? vote : next);
        synced = new ArrayList<>(persistentState.entries());
        vote = persistentState.hardState();
      }
    }
  }

  private static boolean tryWrite(DataFolder folder, List<Effect.Persist> batch) {
    try {
      folder.write(batch);
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
