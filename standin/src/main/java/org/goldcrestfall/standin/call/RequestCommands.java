package org.goldcrestfall.standin.call;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.goldcrestfall.standin.answer.Prompt;
import org.goldcrestfall.standin.client.ChatCall;
import org.goldcrestfall.standin.client.ChatClient;
import org.goldcrestfall.standin.client.ChatReply;

/**
 * The subcommands {@code call} and {@code chat}, which send single requests for scripts. Their exit
 * code is 0 if the response is as expected, otherwise 1.
 */
public final class RequestCommands {

  private static final long POLL_REQUEST_TIMEOUT_SECONDS = 2;
  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

  private final HttpClient http = ChatClient.newHttpClient(Runnable::run);
  private final PrintStream out;
  private final PrintStream err;

  /** Creates commands that print responses to {@code out} and diagnostics to {@code err}. */
  public RequestCommands(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /**
   * Sends one request and prints the response body. With {@code --until-status}, polls all URLs
   * until each has returned the awaited status and text, and prints no body.
   *
   * @return the exit code
   */
  public int sendRequest(CallOptions options) throws InterruptedException {
    if (options.untilStatus != 0) {
      return pollUntilStatus(options);
    }
    try {
      HttpResponse<String> response = send(options, options.urls.get(0), options.timeoutSeconds);
      out.println(response.body());
      boolean expected = options.expectStatus == 0 || options.expectStatus == response.statusCode();
      if (!expected) {
        err.println("status " + response.statusCode() + ", expected " + options.expectStatus);
      }
      return expected ? 0 : 1;
    } catch (IOException e) {
      err.println(options.urls.get(0) + " is not reachable: " + e);
      return 1;
    }
  }

  /**
   * Sends a chat completion, prints the text and verifies it.
   *
   * @return the exit code
   */
  public int sendChatCompletion(ChatOptions options) {
    ChatClient client = new ChatClient(Runnable::run, Duration.ofSeconds(options.timeoutSeconds));
    ChatCall call =
        new ChatCall(
            options.key,
            options.idempotencyKey,
            options.patience,
            options.model,
            Prompt.ofUser(options.prompt),
            options.maxTokens,
            options.stream);
    ChatReply reply = client.send(options.server, call).join();
    out.println(reply.check().text().strip());
    if (reply.check().isComplete()) {
      err.println(
          "whole answer: prompt_tokens="
              + call.prompt().tokenCount()
              + " completion_tokens="
              + reply.check().receivedTokens()
              + " request_id="
              + reply.requestId());
      return 0;
    }
    String problem = reply.check().isWrong() ? reply.check().problem() : "" + reply.error();
    err.println(
        "status "
            + reply.status()
            + ", "
            + reply.errorKind()
            + ": "
            + problem
            + " "
            + reply.failure());
    return 1;
  }

  private int pollUntilStatus(CallOptions options) throws InterruptedException {
    final long deadlineNanos =
        System.nanoTime() + Duration.ofSeconds(options.timeoutSeconds).toNanos();
    List<String> pendingUrls = new ArrayList<>(options.urls);
    while (!pendingUrls.isEmpty()) {
      pendingUrls.removeIf(url -> hasAwaitedResponse(options, url));
      if (System.nanoTime() > deadlineNanos) {
        err.println("no status " + options.untilStatus + " from " + String.join(", ", pendingUrls));
        return 1;
      }
      if (!pendingUrls.isEmpty()) {
        Uninterruptibles.sleepUninterruptibly(POLL_INTERVAL);
      }
    }
    return 0;
  }

  private boolean hasAwaitedResponse(CallOptions options, String url) {
    try {
      HttpResponse<String> response = send(options, url, POLL_REQUEST_TIMEOUT_SECONDS);
      return response.statusCode() == options.untilStatus
          && options.untilContains.stream().allMatch(response.body()::contains);
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private HttpResponse<String> send(CallOptions options, String url, long timeoutSeconds)
      throws IOException, InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(url))
            .timeout(Duration.ofSeconds(timeoutSeconds))
            .method(options.method, HttpRequest.BodyPublishers.ofString(options.body));
    if (!options.bearerToken.isEmpty()) {
      request.header("Authorization", "Bearer " + options.bearerToken);
    }
    if (!options.idempotencyKey.isEmpty()) {
      request.header("Idempotency-Key", options.idempotencyKey);
    }
    return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }
}
