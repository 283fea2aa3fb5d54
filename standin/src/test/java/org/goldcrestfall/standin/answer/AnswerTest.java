package org.goldcrestfall.standin.answer;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Tests the generated answers and the request parser. If two prompts had the same answer, clients
 * could not detect that they received the answer to another prompt.
 */
class AnswerTest {

  @Property(tries = 200, seed = "11")
  void tokenDependsOnTheWholePromptAndItsIndexOnly(@ForAll String content, @ForAll short index) {
    int i = Math.abs(index);
    Answer first = Answer.to(Prompt.ofUser(content));
    Answer second = Answer.to(Prompt.ofUser(content));
    assertThat(first.token(i)).isEqualTo(second.token(i));
    assertThat(first.text(0, 20)).isNotEqualTo(Answer.to(Prompt.ofUser(content + ".")).text(0, 20));
  }

  @Example
  void roleAndMessageBoundariesChangeTheAnswer() {
    Prompt joined = new Prompt(List.of(new Message("user", "ab")));
    Prompt split = new Prompt(List.of(new Message("user", "a"), new Message("user", "b")));
    Prompt system = new Prompt(List.of(new Message("system", "ab")));
    assertThat(Answer.to(joined).text(0, 20))
        .isNotEqualTo(Answer.to(split).text(0, 20))
        .isNotEqualTo(Answer.to(system).text(0, 20));
  }

  @Property(tries = 500, seed = "12")
  void promptTokensNeverExceedTheBytesOfTheMessages(@ForAll List<String> contents) {
    Prompt prompt = new Prompt(contents.stream().map(c -> new Message("user", c)).toList());
    int bytes = contents.stream().mapToInt(c -> c.getBytes(UTF_8).length).sum();
    assertThat(prompt.tokenCount()).isBetween(0, bytes);
  }

  @Property(tries = 200, seed = "13")
  void lengthNeverExceedsTheLimitAndMatchesTheFinishReason(@ForAll String content) {
    Answer answer = Answer.to(Prompt.ofUser(content));
    assertThat(answer.tokenCount(10)).isEqualTo(10);
    assertThat(answer.finishReason(10)).isEqualTo("length");
    assertThat(answer.tokenCount(5000) < 5000).isEqualTo(answer.hasNaturalEnd());
    assertThat(answer.finishReason(5000)).isEqualTo(answer.hasNaturalEnd() ? "stop" : "length");
  }

  @Example
  void malformedRequestsAreRefusedWithTheNameOfTheField() throws Exception {
    ObjectMapper mapper = new ObjectMapper();
    for (String[] example :
        new String[][] {
          {"{}", "messages"},
          {"{\"messages\":[]}", "messages"},
          {"{\"messages\":[{\"content\":\"x\"}]}", "messages"},
          {"{\"messages\":[{\"role\":\"user\",\"content\":\"x\"}],\"max_tokens\":0}", "max_tokens"},
          {"{\"messages\":[{\"role\":\"user\"}],\"resume_from\":-1}", "resume_from"}
        }) {
      assertThatThrownBy(() -> ChatRequest.parse(mapper.readTree(example[0])))
          .isInstanceOf(IllegalArgumentException.class)
          .hasMessageStartingWith(example[1]);
    }
  }
}
