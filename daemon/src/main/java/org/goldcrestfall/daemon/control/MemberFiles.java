package org.goldcrestfall.daemon.control;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.security.SecureRandom;
import org.goldcrestfall.core.consensus.Stored;
import org.goldcrestfall.daemon.storage.DamagedDataException;
import org.goldcrestfall.daemon.storage.DataFolder;
import org.goldcrestfall.daemon.storage.Disk;
import org.goldcrestfall.daemon.storage.Identity;

/** The data folder of a member that starts, with what it holds. */
record MemberFiles(DataFolder folder, Identity identity, Stored stored) {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Reads a disk; sets a damaged log aside if there are other members to repair from. */
  static MemberFiles open(ControlSettings settings, Disk disk) throws IOException {
    DataFolder folder = new DataFolder(disk);
    try {
      Identity identity = folder.identity().orElse(null);
      Stored stored = folder.load();
      if (identity == null) {
        identity = newIdentity(settings, false);
        folder.writeIdentity(identity);
      }
      return new MemberFiles(folder, identity, stored);
    } catch (DamagedDataException e) {
      folder.closeLog();
      if (settings.members().size() == 1) {
        throw e;
      }
      logger.atSevere().withCause(e).log(
          "consensus: the log is set aside; the member joins again as a learner");
    }
    DataFolder.quarantine(disk);
    DataFolder emptied = new DataFolder(disk);
    Identity identity = newIdentity(settings, true);
    emptied.writeIdentity(identity);
    return new MemberFiles(emptied, identity, emptied.load());
  }

  private static Identity newIdentity(ControlSettings settings, boolean rejoins) {
    // A number that was never used before, even if the loss of this disk went unnoticed.
    long number = new SecureRandom().nextLong(Long.MAX_VALUE);
    return new Identity(settings.host() + "#" + number, rejoins);
  }
}
