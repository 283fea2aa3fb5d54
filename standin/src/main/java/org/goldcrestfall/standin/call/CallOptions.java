package org.goldcrestfall.standin.call;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/** Options of the subcommand {@code call}. */
@Parameters(commandDescription = "Send one HTTP request and print the body of the answer")
public final class CallOptions {

  @Parameter(
      names = "--url",
      description = "URL to call; with --until-status it may be given several times",
      required = true)
  public List<String> urls = new ArrayList<>();

  @Parameter(names = "--method", description = "HTTP method")
  public String method = "GET";

  @Parameter(names = "--body", description = "Request body")
  public String body = "";

  @Parameter(names = "--key", description = "Bearer token")
  public String bearerToken = "";

  @Parameter(names = "--idempotency-key", description = "Idempotency-Key header")
  public String idempotencyKey = "";

  @Parameter(names = "--expect-status", description = "Exit with 1 on another status; 0 is any")
  public int expectStatus = 0;

  @Parameter(
      names = "--until-status",
      description = "Repeat until every URL answers with this status; prints no body")
  public int untilStatus = 0;

  @Parameter(
      names = "--until-contains",
      description = "With --until-status: text that every body must contain; may be repeated")
  public List<String> untilContains = new ArrayList<>();

  @Parameter(names = "--timeout-seconds", description = "Limit for the whole call")
  public long timeoutSeconds = 30;

  @Parameter(names = "--help", help = true, description = "Show this help")
  public boolean help;
}
