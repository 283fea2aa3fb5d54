package org.goldcrestfall.standin.client;

import com.fasterxml.jackson.databind.JsonNode;
import org.goldcrestfall.standin.answer.Answer;
import org.goldcrestfall.standin.answer.Prompt;
import org.goldcrestfall.standin.upstream.Json;

/** Checks that a streamed or plain answer is whole and belongs to the prompt that was sent. */
public final class AnswerCheck {

  private static final String DONE = "[DONE]";

  private final Prompt prompt;
  private final Answer answer;
  private final int length;
  private final StringBuilder text = new StringBuilder();
  private int next;
  private boolean usageSeen;
  private boolean done;
  private String problem = "";
  private JsonNode error;

  /** Creates the check of the answer to {@code prompt} under a limit of output tokens. */
  public AnswerCheck(Prompt prompt, int maxTokens) {
    this.prompt = prompt;
    this.answer = Answer.to(prompt);
    this.length = answer.length(maxTokens);
  }

  /** Checks the data of one server-sent event. */
  public void event(String data) {
    if (done) {
      note("event after [DONE]");
      return;
    }
    if (data.equals(DONE)) {
      done = true;
      if (error == null && next != length) {
        note("ended after " + next + " of " + length + " tokens");
      }
      if (error == null && !usageSeen) {
        note("no usage in the last event");
      }
      return;
    }
    try {
      chunk(Json.parse(data));
    } catch (IllegalArgumentException e) {
      note("an event is not JSON: " + data);
    }
  }

  /** Checks the body of a plain answer. */
  public void plain(String body) {
    JsonNode json;
    try {
      json = Json.parse(body);
    } catch (IllegalArgumentException e) {
      note("the body is not JSON");
      return;
    }
    String content = json.at("/choices/0/message/content").asText();
    text.append(content);
    if (!content.equals(answer.text(0, length))) {
      note("the text is not the answer to this prompt, or not whole");
    }
    next = length;
    usage(json.path("usage"));
    done = true;
  }

  /** Returns whether the answer arrived to its end and is right. */
  public boolean isWhole() {
    return done && error == null && problem.isEmpty();
  }

  /** Returns whether what arrived cannot be part of the right answer. */
  public boolean isWrong() {
    return !problem.isEmpty();
  }

  /** Returns what is wrong, or an empty text. */
  public String problem() {
    return problem;
  }

  /** Returns the error object that ended the stream, or null. */
  public JsonNode error() {
    return error;
  }

  /** Returns the count of tokens that arrived. */
  public int tokens() {
    return next;
  }

  /** Returns the text that arrived. */
  public String text() {
    return text.toString();
  }

  private void chunk(JsonNode json) {
    if (json.has("error")) {
      error = json.get("error");
      return;
    }
    JsonNode content = json.path("choices").path(0).path("delta").path("content");
    if (content.isTextual() && !content.textValue().isEmpty()) {
      token(json.path("offset").asInt(next), content.textValue());
    }
    if (json.hasNonNull("usage")) {
      usage(json.get("usage"));
    }
  }

  private void token(int offset, String content) {
    if (offset != next) {
      note("token " + offset + " arrived in place of " + next);
    } else if (offset >= length) {
      note("token " + offset + " is beyond the end at " + length);
    } else if (!content.equals(answer.token(offset))) {
      note("token " + offset + " is not of this answer");
    }
    text.append(content);
    next = offset + 1;
  }

  private void usage(JsonNode usage) {
    usageSeen = true;
    if (usage.path("completion_tokens").asInt(-1) != length) {
      note("usage has completion_tokens " + usage.path("completion_tokens") + ", not " + length);
    }
    if (usage.path("prompt_tokens").asInt(-1) != prompt.tokens()) {
      note("usage has prompt_tokens " + usage.path("prompt_tokens") + ", not " + prompt.tokens());
    }
  }

  private void note(String text) {
    if (problem.isEmpty()) {
      problem = text;
    }
  }
}
