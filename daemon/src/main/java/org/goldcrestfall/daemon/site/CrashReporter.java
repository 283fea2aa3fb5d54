package org.goldcrestfall.daemon.site;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.quarantine.LostAnswers;
import org.goldcrestfall.core.quarantine.PartLoss;
import org.goldcrestfall.core.quarantine.ServicePart;
import org.goldcrestfall.core.quarantine.SoundAnswer;
import org.goldcrestfall.core.site.SiteCommand;
import org.goldcrestfall.daemon.control.ControlClient;
import org.goldcrestfall.wire.PeerTransport;

/**
 * Reports to the control group which answers were lost in crashes of upstreams, and which answers
 * show that suspect parts are sound, until the group has committed it. Confined to one event loop.
 */
public final class CrashReporter {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Number of reports that wait while the control group cannot commit; later ones are dropped. */
  private static final int MAX_WAITING = 200;

  /** Number of prompt parts in one report of a crash. */
  private static final int MAX_PARTS_PER_REPORT = 100;

  /** Number of reports in one command, whose size is limited. */
  private static final int MAX_REPORTS_PER_COMMAND = 4;

  /**
   * Time for which evidence is collected that frees no request. Other routers often report the same
   * in the meantime.
   */
  private static final long COLLECT_MILLIS = 100;

  private static final long COMMIT_TIMEOUT_MILLIS = 900;
  private static final long RETRY_DELAY_MILLIS = 100;

  private final ControlClient controlClient;
  private final EventLoop loop;
  private final MillisClock wallClock = MillisClock.utc();
  private final List<LostAnswers> lost = new ArrayList<>();
  private final Map<ServicePart, SoundAnswer> sound = new LinkedHashMap<>();
  private boolean sending;
  private boolean collecting;

  /** Creates the reporter of the router that watches the site with {@code siteClient}. */
  public CrashReporter(
      SiteClient siteClient, PeerTransport transport, EventLoop loop, MillisClock clock) {
    this.loop = loop;
    controlClient = new ControlClient(siteClient::controlAddresses, transport, clock, null);
  }

  /** Reports answers that were lost in a crash. */
  public void reportLost(LostAnswers answers) {
    for (List<PartLoss> parts : Lists.partition(answers.parts(), MAX_PARTS_PER_REPORT)) {
      if (lost.size() == MAX_WAITING) {
        logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
            "quarantine: dropped the report of %s parts of the crash of %s, as %s others wait",
            parts.size(), answers.crash().upstream(), MAX_WAITING);
        break;
      }
      lost.add(new LostAnswers(answers.crash(), answers.atMillis(), ImmutableList.copyOf(parts)));
    }
    send();
  }

  /**
   * Reports an answer that shows that a suspect part is sound.
   *
   * @param isUrgent whether requests with the part are refused
   */
  public void reportSound(SoundAnswer answer, boolean isUrgent) {
    SoundAnswer known = sound.get(answer.part());
    if (known == null && sound.size() == MAX_WAITING || known != null && known.covers(answer)) {
      return;
    }
    sound.put(answer.part(), answer);
    if (isUrgent) {
      send();
    } else if (!collecting) {
      collecting = true;
      loop.schedule(this::endCollecting, COLLECT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void endCollecting() {
    collecting = false;
    send();
  }

  /** Forgets evidence for parts that are no longer suspect. */
  public void retainSuspects(Set<ServicePart> suspects) {
    sound.keySet().retainAll(suspects);
  }

  private void send() {
    if (sending || lost.isEmpty() && sound.isEmpty()) {
      return;
    }
    sending = true;
    final List<LostAnswers> sentLost =
        List.copyOf(lost.subList(0, Math.min(MAX_REPORTS_PER_COMMAND, lost.size())));
    final List<SoundAnswer> sentSound = List.copyOf(sound.values());
    byte[] command =
        SiteCodec.encodeCommand(
            new SiteCommand.ReportAnswers(sentLost, sentSound, wallClock.nowMillis()));
    controlClient
        .submit(command, COMMIT_TIMEOUT_MILLIS)
        .whenCompleteAsync(
            (reply, failure) -> {
              sending = false;
              if (failure != null) {
                logger.atInfo().atMostEvery(2, TimeUnit.SECONDS).log(
                    "quarantine: %s reports are not committed yet: %s", lost.size(), failure);
                loop.schedule(this::send, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
                return;
              }
              lost.subList(0, sentLost.size()).clear();
              sentSound.forEach(answer -> sound.remove(answer.part(), answer));
              send();
            },
            loop);
  }
}
