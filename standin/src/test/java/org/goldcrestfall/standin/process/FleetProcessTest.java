package org.goldcrestfall.standin.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import org.goldcrestfall.standin.answer.Answer;
import org.goldcrestfall.standin.answer.Prompt;

/**
 * Guards the promises across real processes: daemons are killed with SIGKILL, one loses its data
 * folder, one is stopped with SIGTERM. Outcomes are asserted, not times.
 */
final class FleetProcessTest {

  private static final int PAID_IN_TOKENS = 10_000_000;
  private static final int MAX_TOKENS = 20;

  private static Path newTemporaryFolder() throws IOException {
    return Files.createTempDirectory(Path.of("target"), "fleet").toAbsolutePath();
  }

  private static String createWorkspaceAndKey(ProcessCluster f) throws Exception {
    f.confirm(
        """
        {"type": "create_workspace", "name": "yard", "default_class": "patient",
         "tradeoff": "AVAILABLE"}
        """);
    f.confirm(
        """
        {"type": "define_service", "name": "mill", "price_tokens": 5,
         "idempotent_methods": ["GET"]}
        """);
    f.confirm(
        "{\"type\": \"top_up_budget\", \"workspace\": \"yard\", \"tokens\": %d}"
            .formatted(PAID_IN_TOKENS));
    return f.createKey("yard");
  }

  private static String expectedAnswer(String prompt) {
    Answer a = Answer.to(Prompt.ofUser(prompt));
    return a.text(0, a.length(MAX_TOKENS));
  }

  /** Sends a chat through the hosts in turn until one answers. */
  private static String chat(ProcessCluster f, String key, String id, String prompt, int first)
      throws Exception {
    String[] out = new String[1];
    int[] turn = {first};
    ProcessCluster.await(
        "an answer to " + id,
        () -> {
          String host = f.hosts().get(turn[0]++ % f.hosts().size());
          HttpResponse<String> r = f.chat(host, key, id, prompt, MAX_TOKENS);
          if (r.statusCode() != 200) {
            return false;
          }
          JsonNode message = ProcessCluster.MAPPER.readTree(r.body()).path("choices").path(0);
          out[0] = message.path("message").path("content").asText();
          return true;
        });
    return out[0];
  }

  /** Books through the hosts in turn until the outcome is known or known to be unknown. */
  private static int book(ProcessCluster f, String key, String id, int first) throws Exception {
    int[] status = new int[1];
    int[] turn = {first};
    ProcessCluster.await(
        "an outcome of " + id,
        () -> {
          String host = f.hosts().get(turn[0]++ % f.hosts().size());
          HttpResponse<String> r = f.book(host, key, id);
          status[0] = r.statusCode();
          return status[0] == 201 || r.body().contains("outcome_unknown");
        });
    return status[0];
  }

  private static JsonNode budget(ProcessCluster f, String host) throws Exception {
    return f.admin("GET", host, "budgets/yard", null);
  }

  private static void checkBudgetNotExceeded(JsonNode b) {
    long bound =
        b.path("settled").asLong() + b.path("outstanding").asLong() + b.path("stranded").asLong();
    assertThat(b.path("paid_in").asLong()).isEqualTo(PAID_IN_TOKENS);
    assertThat(bound).isLessThanOrEqualTo(PAID_IN_TOKENS);
  }

  /** Waits until as many records as chats are settled, and returns their sum of tokens. */
  private static long checkBilledOnce(ProcessCluster f, String host, int chats) throws Exception {
    Map<String, Integer> count = new HashMap<>();
    long[] sum = new long[1];
    ProcessCluster.await(
        "all billing records",
        () -> {
          count.clear();
          sum[0] = 0;
          JsonNode records =
              f.admin("GET", host, "billing?workspace=yard&limit=1000", null).path("records");
          for (JsonNode r : records) {
            sum[0] += r.path("tokens").asLong();
            if (r.path("target").asText().equals("hull-1")) {
              count.merge(r.path("request_id").asText(), 1, Integer::sum);
            }
          }
          return count.size() >= chats;
        });
    assertThat(count).hasSize(chats);
    assertThat(count.values()).allMatch(n -> n == 1);
    return sum[0];
  }

  @Example
  void killOfTheLeaderLosesNothingAcknowledged() throws Exception {
    try (ProcessCluster f = new ProcessCluster(newTemporaryFolder(), 1)) {
      String key = createWorkspaceAndKey(f);
      List<String> booked = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        assertThat(chat(f, key, "chat-" + i, "hull " + i, i))
            .isEqualTo(expectedAnswer("hull " + i));
        if (book(f, key, "booking-" + i, i) == 201) {
          booked.add("booking-" + i);
        }
      }
      String leader = f.leader();
      f.kill(leader);
      for (int i = 0; i < 16; i++) {
        // The first eight are retries of answered requests, through another host.
        assertThat(chat(f, key, "chat-" + i, "hull " + i, i + 1))
            .isEqualTo(expectedAnswer("hull " + i));
        if (book(f, key, "booking-" + i, i + 1) == 201) {
          booked.add("booking-" + i);
        }
      }
      f.startDaemon(leader);
      f.awaitReady(leader);
      checkBilledOnce(f, leader, 16);
      JsonNode b = budget(f, leader);
      checkBudgetNotExceeded(b);
      Map<String, Integer> runs = f.bookingRuns();
      assertThat(runs.values()).allMatch(n -> n == 1);
      assertThat(runs.keySet()).containsAll(booked);
    }
  }

  @Example
  void killOfRouterWithOpenReservationsStrandsNothingThatItCanProveUnused() throws Exception {
    try (ProcessCluster f = new ProcessCluster(newTemporaryFolder(), 50)) {
      String key = createWorkspaceAndKey(f);
      String router = f.hosts().stream().filter(h -> !isLeader(f, h)).findFirst().orElseThrow();
      List<CompletableFuture<Void>> open = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        String id = "chat-" + i;
        String prompt = "boom " + i;
        open.add(
            CompletableFuture.runAsync(
                () -> {
                  try {
                    f.chat(router, key, id, prompt, MAX_TOKENS);
                  } catch (Exception e) {
                    // The router dies while the answer is produced.
                  }
                }));
      }
      ProcessCluster.await(
          "a reservation",
          () -> budget(f, f.leader()).path("outstanding_by_router").has(router + "#1"));
      f.kill(router);
      CompletableFuture.allOf(open.toArray(new CompletableFuture<?>[0])).join();
      int other = f.hosts().indexOf(router) + 1;
      for (int i = 0; i < 6; i++) {
        String prompt = "boom " + i;
        String[] answer = new String[1];
        int[] turn = {other};
        String id = "chat-" + i;
        ProcessCluster.await(
            id,
            () -> {
              String host = f.hosts().get(turn[0]++ % 3);
              if (host.equals(router)) {
                return false;
              }
              answer[0] = chat(f, key, id, prompt, f.hosts().indexOf(host));
              return true;
            });
        assertThat(answer[0]).isEqualTo(expectedAnswer(prompt));
      }
      f.startDaemon(router);
      f.awaitReady(router);
      ProcessCluster.await(
          "the allotment of the killed incarnation to be closed",
          () -> !budget(f, f.leader()).path("outstanding_by_router").has(router + "#1"));
      long billed = checkBilledOnce(f, router, 6);
      ProcessCluster.await(
          "the unused rest to return",
          () -> budget(f, f.leader()).path("stranded").asLong() <= 2 * 20_000);
      JsonNode b = budget(f, f.leader());
      checkBudgetNotExceeded(b);
      assertThat(b.path("settled").asLong()).isEqualTo(billed);
    }
  }

  @Example
  void memberWithoutItsDataFolderRejoinsAndSecondLossKeepsEverything() throws Exception {
    try (ProcessCluster f = new ProcessCluster(newTemporaryFolder(), 1)) {
      for (int i = 0; i < 20; i++) {
        f.confirm(
            "{\"type\": \"create_workspace\", \"name\": \"w%d\", \"default_class\": \"quick\","
                    .formatted(i)
                + " \"tradeoff\": \"STRICT\"}");
      }
      String leader = f.leader();
      String lost = f.hosts().stream().filter(h -> !h.equals(leader)).findFirst().orElseThrow();
      f.kill(lost);
      f.deleteDataFolder(lost);
      f.startDaemon(lost);
      ProcessCluster.await("the member to have its vote again", () -> isVoterAgain(f, lost));
      f.kill(leader);
      JsonNode[] found = new JsonNode[1];
      ProcessCluster.await(
          "the two remaining members to answer",
          () -> {
            found[0] = f.admin("GET", lost, "workspaces", null).path("workspaces");
            return true;
          });
      assertThat(found[0]).hasSize(20);
    }
  }

  @Example
  void terminatedRouterFinishesOpenRequestsAndReturnsAllotments() throws Exception {
    try (ProcessCluster f = new ProcessCluster(newTemporaryFolder(), 50)) {
      String key = createWorkspaceAndKey(f);
      String router = f.hosts().stream().filter(h -> !isLeader(f, h)).findFirst().orElseThrow();
      List<CompletableFuture<String>> open = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        String id = "chat-" + i;
        String prompt = "keel " + i;
        open.add(
            CompletableFuture.supplyAsync(
                () -> {
                  try {
                    return f.chat(router, key, id, prompt, MAX_TOKENS).body();
                  } catch (Exception e) {
                    return e.toString();
                  }
                }));
      }
      ProcessCluster.await(
          "a reservation",
          () -> budget(f, f.leader()).path("outstanding_by_router").has(router + "#1"));
      assertThat(f.terminate(router)).isZero();
      for (int i = 0; i < 6; i++) {
        JsonNode a = ProcessCluster.MAPPER.readTree(open.get(i).join());
        assertThat(a.path("choices").path(0).path("message").path("content").asText())
            .isEqualTo(expectedAnswer("keel " + i));
      }
      JsonNode held = budget(f, f.leader()).path("outstanding_by_router").path(router + "#1");
      assertThat(held.isNumber()).isTrue();
      assertThat(held.asLong()).isZero();
      checkBilledOnce(f, f.leader(), 6);
    }
  }

  private static boolean isLeader(ProcessCluster f, String host) {
    try {
      return f.leader().equals(host);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /** A member that has lost its disk returns under a new number, which the leader must list. */
  private static boolean isVoterAgain(ProcessCluster f, String host) throws Exception {
    JsonNode control = f.admin("GET", host, "control", null);
    int voters = 0;
    boolean listed = false;
    for (JsonNode m : control.path("members")) {
      String text = m.asText();
      voters += text.contains("(learner)") ? 0 : 1;
      listed |= text.startsWith(host + "#") && !text.contains("(learner)");
    }
    return listed
        && voters == 3
        && f.admin("GET", f.leader(), "control", null).path("members").size() == 3;
  }
}
