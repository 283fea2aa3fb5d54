package org.goldcrestfall.standin.call;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** Options of the subcommand {@code chat}. */
@Parameters(commandDescription = "Send one chat completion, print the text and verify it")
public final class ChatOptions {

  @Parameter(names = "--server", description = "ip:port of a router or engine", required = true)
  public String server;

  @Parameter(names = "--key", description = "API key")
  public String key = "";

  @Parameter(names = "--model", description = "Model")
  public String model = "hull-1";

  @Parameter(names = "--prompt", description = "Text of the user message", required = true)
  public String prompt;

  @Parameter(names = "--max-tokens", description = "Output limit")
  public int maxTokens = 64;

  @Parameter(names = "--stream", description = "Ask for a stream")
  public boolean stream;

  @Parameter(names = "--idempotency-key", description = "Idempotency-Key header")
  public String idempotencyKey = "";

  @Parameter(names = "--patience", description = "Patience class")
  public String patience = "";

  @Parameter(names = "--timeout-seconds", description = "Limit for the response headers")
  public long timeoutSeconds = 30;

  @Parameter(names = "--help", help = true, description = "Show this help")
  public boolean help;
}
