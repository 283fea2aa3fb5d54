package org.goldcrestfall.daemon.peer;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.control.ConfigView;
import org.goldcrestfall.core.membership.Member;
import org.goldcrestfall.core.membership.ReceivedAnnouncement;
import org.goldcrestfall.core.membership.UpstreamAnnouncement;
import org.goldcrestfall.daemon.Await;
import org.goldcrestfall.wire.NettyPeerTransport;
import org.goldcrestfall.wire.PeerSettings;
import org.goldcrestfall.wire.TransportListener;

class PeerServiceTest {

  private static final int TIMEOUT_SECONDS = 30;

  private final List<AutoCloseable> opened = new ArrayList<>();
  private final MillisClock clock = MillisClock.monotonic();
  private volatile ConfigView source = ConfigView.EMPTY;

  private record Daemon(PeerService service, NettyPeerTransport transport) {}

  @AfterTry
  void closeAll() throws Exception {
    for (AutoCloseable c : opened) {
      c.close();
    }
  }

  private Daemon open(int number, List<String> seeds, boolean control, Path folder)
      throws IOException {
    String host = "r" + number;
    var settings =
        new PeerSettings(host, "127.0.0.1", 0, "test", "0123456789abcdef".getBytes(UTF_8));
    var transport = new NettyPeerTransport(settings, TransportListener.NONE);
    String address = transport.address();
    List<String> controlMembers = control ? List.of(address) : seeds;
    var options =
        new PeerOptions(host, "zone-a", address, seeds, controlMembers, folder, 7 + number);
    var service = new PeerService(options, transport, clock, control ? () -> source : null);
    service.start();
    service.setIncarnation(new Incarnation(host, 1));
    opened.add(service);
    opened.add(transport);
    return new Daemon(service, transport);
  }

  private static void await(BooleanSupplier condition) {
    Await.await(condition, TIMEOUT_SECONDS);
  }

  private static ConfigView revision(long revision) {
    return new ConfigView(revision, Map.of(), Map.of(), Map.of(), Map.of());
  }

  private static UpstreamAnnouncement announcement(
      long sequence, UpstreamAnnouncement.State state) {
    return new UpstreamAnnouncement(
        "e1",
        1,
        sequence,
        UpstreamAnnouncement.Kind.ENGINE,
        "127.0.0.1:7000",
        "zone-a",
        state,
        0,
        List.of("m"),
        null,
        true,
        null,
        null);
  }

  private boolean routes(Daemon d) {
    List<ReceivedAnnouncement> routable = d.service().upstreams().routable(clock.nowMillis());
    return !routable.isEmpty();
  }

  // Guards against gossip, announcements or revisions that do not reach every daemon.
  @Example
  void daemonsFindEachOtherAndShareUpstreamsUsageAndConfiguration() throws Exception {
    Daemon a = open(1, List.of(), true, null);
    List<String> seeds = List.of(a.transport().address());
    Daemon b = open(2, seeds, false, null);
    Daemon c = open(3, seeds, false, null);
    List<Daemon> all = List.of(a, b, c);
    for (Daemon d : all) {
      await(() -> d.service().hostRevisions().size() == 3);
    }
    assertThat(b.service().announce(announcement(1, UpstreamAnnouncement.State.READY)).get())
        .isTrue();
    long[] sequence = {1};
    for (Daemon d : all) {
      await(
          () -> {
            var next = announcement(++sequence[0], UpstreamAnnouncement.State.READY);
            b.service().announce(next).join();
            return routes(d);
          });
    }
    var leaving = announcement(1_000_000, UpstreamAnnouncement.State.LEAVING);
    assertThat(c.service().announce(leaving).get()).isTrue();
    for (Daemon d : all) {
      await(() -> !routes(d));
    }
    b.service().publishUsage("workspace/mill", 2500);
    await(() -> c.service().milliRatesByHost("workspace/mill").equals(Map.of("r2", 2500L)));
    source = revision(9);
    for (Daemon d : all) {
      await(() -> d.service().configView().revision() == 9 && d.service().configConfirmed());
    }
    await(() -> c.service().hostRevisions().equals(Map.of("r1", 9L, "r2", 9L, "r3", 9L)));
    b.service().leave().get();
    await(
        () ->
            c.service().members().stream()
                .anyMatch(m -> m.host().equals("r2") && m.status() == Member.Status.LEFT));
  }

  // Guards against a router that serves an older revision after a restart, or a corrupted file.
  @Example
  void storedRevisionIsServedAfterTheRestart() throws Exception {
    Path folder = Files.createTempDirectory("peer-test");
    opened.add(() -> MoreFiles.deleteRecursively(folder, RecursiveDeleteOption.ALLOW_INSECURE));
    source = revision(9);
    Daemon a = open(1, List.of(), true, null);
    List<String> seeds = List.of(a.transport().address());
    Daemon b = open(2, seeds, false, folder);
    await(() -> b.service().configView().revision() == 9);
    b.service().close();
    b.transport().close();
    source = revision(4);
    Daemon restarted = open(2, seeds, false, folder);
    await(
        () ->
            restarted.service().configConfirmed()
                || restarted.service().configConfirmationAgeMillis() > 2000);
    assertThat(restarted.service().configView().revision()).isEqualTo(9);
    Path file = folder.resolve("config-view.json");
    Files.writeString(file, Files.readString(file).replace("\"revision\":9", "\"revision\":8"));
    assertThat(new ConfigFile(folder).load()).isEqualTo(ConfigView.EMPTY);
  }

  // Guards against fields of an announcement that are lost in messages between routers.
  @Example
  void announcementIsUnchangedByEncodingAndDecoding() {
    var a =
        new UpstreamAnnouncement(
            "e1",
            3,
            4,
            UpstreamAnnouncement.Kind.SERVICE,
            "10.0.0.1:7000",
            "zone-b",
            UpstreamAnnouncement.State.LEAVING,
            1500,
            List.of("m"),
            "stock",
            true,
            new UpstreamAnnouncement.Load(1, 2, 3, 4),
            List.of(new UpstreamAnnouncement.CacheEvent(5, "p", true)));
    for (UpstreamAnnouncement b : List.of(a, announcement(1, UpstreamAnnouncement.State.READY))) {
      var update = new org.goldcrestfall.core.membership.UpstreamDirectory.AgedAnnouncement(b, 6);
      assertThat(UpstreamCodec.announcement(UpstreamCodec.update(update))).isEqualTo(b);
    }
  }
}
