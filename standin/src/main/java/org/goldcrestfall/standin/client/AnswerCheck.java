package org.goldcrestfall.standin.client;

import com.fasterxml.jackson.databind.JsonNode;
import org.goldcrestfall.standin.answer.Answer;
import org.goldcrestfall.standin.answer.Prompt;
import org.goldcrestfall.standin.upstream.Json;

/** Verifies that an answer, streamed or not, is complete and belongs to the prompt. */
public final class AnswerCheck {

  private static final String END_OF_STREAM = "[DONE]";

  private final Prompt prompt;
  private final Answer answer;
  private final int expectedTokens;
  private final StringBuilder text = new StringBuilder();
  private int nextOffset;
  private boolean usageSeen;
  private boolean done;
  private String problem = "";
  private JsonNode error;

  /** Creates the check of the answer to {@code prompt}; {@code maxTokens} limits the output. */
  public AnswerCheck(Prompt prompt, int maxTokens) {
    this.prompt = prompt;
    this.answer = Answer.to(prompt);
    this.expectedTokens = answer.tokenCount(maxTokens);
  }

  /** Checks the data of one server-sent event. */
  public void onEvent(String data) {
    if (done) {
      recordProblem("event after [DONE]");
      return;
    }
    if (data.equals(END_OF_STREAM)) {
      done = true;
      if (error == null && nextOffset != expectedTokens) {
        recordProblem("ended after " + nextOffset + " of " + expectedTokens + " tokens");
      }
      if (error == null && !usageSeen) {
        recordProblem("no usage in the last event");
      }
      return;
    }
    try {
      checkChunk(Json.parse(data));
    } catch (IllegalArgumentException e) {
      recordProblem("an event is not JSON: " + data);
    }
  }

  /** Checks the body of a non-streaming response. */
  public void onBody(String body) {
    JsonNode json;
    try {
      json = Json.parse(body);
    } catch (IllegalArgumentException e) {
      recordProblem("the body is not JSON");
      return;
    }
    String content = json.at("/choices/0/message/content").asText();
    text.append(content);
    if (!content.equals(answer.text(0, expectedTokens))) {
      recordProblem("the text is not the answer to this prompt, or not whole");
    }
    nextOffset = expectedTokens;
    checkUsage(json.path("usage"));
    done = true;
  }

  /** Returns whether the complete answer arrived and is correct. */
  public boolean isComplete() {
    return done && error == null && problem.isEmpty();
  }

  /** Returns whether the received data cannot be part of the correct answer. */
  public boolean isWrong() {
    return !problem.isEmpty();
  }

  /** Returns the first problem found, or an empty string. */
  public String problem() {
    return problem;
  }

  /** Returns the error object that ended the stream, or null. */
  public JsonNode error() {
    return error;
  }

  /** Returns the number of tokens received. */
  public int receivedTokens() {
    return nextOffset;
  }

  /** Returns the text received. */
  public String text() {
    return text.toString();
  }

  private void checkChunk(JsonNode json) {
    if (json.has("error")) {
      error = json.get("error");
      return;
    }
    JsonNode content = json.path("choices").path(0).path("delta").path("content");
    if (content.isTextual() && !content.textValue().isEmpty()) {
      checkToken(json.path("offset").asInt(nextOffset), content.textValue());
    }
    if (json.hasNonNull("usage")) {
      checkUsage(json.get("usage"));
    }
  }

  private void checkToken(int offset, String content) {
    if (offset != nextOffset) {
      recordProblem("token " + offset + " arrived in place of " + nextOffset);
    } else if (offset >= expectedTokens) {
      recordProblem("token " + offset + " is beyond the end at " + expectedTokens);
    } else if (!content.equals(answer.token(offset))) {
      recordProblem("token " + offset + " is not of this answer");
    }
    text.append(content);
    nextOffset = offset + 1;
  }

  private void checkUsage(JsonNode usage) {
    usageSeen = true;
    if (usage.path("completion_tokens").asInt(-1) != expectedTokens) {
      recordProblem(
          "usage has completion_tokens "
              + usage.path("completion_tokens")
              + ", not "
              + expectedTokens);
    }
    if (usage.path("prompt_tokens").asInt(-1) != prompt.tokenCount()) {
      recordProblem(
          "usage has prompt_tokens "
              + usage.path("prompt_tokens")
              + ", not "
              + prompt.tokenCount());
    }
  }

  private void recordProblem(String text) {
    if (problem.isEmpty()) {
      problem = text;
    }
  }
}
