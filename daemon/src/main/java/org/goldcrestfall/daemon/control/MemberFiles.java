package org.goldcrestfall.daemon.control;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.security.SecureRandom;
import org.goldcrestfall.core.consensus.PersistentState;
import org.goldcrestfall.daemon.storage.DamagedDataException;
import org.goldcrestfall.daemon.storage.DataFolder;
import org.goldcrestfall.daemon.storage.Disk;
import org.goldcrestfall.daemon.storage.Identity;

/** The data folder of a member with the state that was read from it at startup. */
record MemberFiles(DataFolder folder, Identity identity, PersistentState stored) {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Reads the state from a disk. If it is damaged and the group has other members, which have
   * copies of the log, the files are quarantined and the member starts empty.
   *
   * @throws DamagedDataException if the data is damaged and the group has no other member
   */
  static MemberFiles open(ControlSettings settings, Disk disk) throws IOException {
    DataFolder folder = new DataFolder(disk);
    try {
      Identity identity = folder.identity().orElse(null);
      PersistentState persistentState = folder.load();
      if (identity == null) {
        identity = newIdentity(settings, false);
        folder.writeIdentity(identity);
      }
      return new MemberFiles(folder, identity, persistentState);
    } catch (DamagedDataException e) {
      folder.closeLog();
      if (settings.members().size() == 1) {
        throw e;
      }
      logger.atSevere().withCause(e).log(
          "consensus: stored data is damaged; quarantining it and rejoining as a learner");
    }
    DataFolder.quarantine(disk);
    DataFolder emptied = new DataFolder(disk);
    Identity identity = newIdentity(settings, true);
    emptied.writeIdentity(identity);
    return new MemberFiles(emptied, identity, emptied.load());
  }

  private static Identity newIdentity(ControlSettings settings, boolean rejoins) {
    // A random number makes the id new even if nobody noticed that an earlier disk was lost.
    long number = new SecureRandom().nextLong(Long.MAX_VALUE);
    return new Identity(settings.host() + "#" + number, rejoins);
  }
}
