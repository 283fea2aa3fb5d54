package org.goldcrestfall.standin.upstream;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;

/** The options that the stand-in engine and the stand-in service share. */
public final class UpstreamOptions {

  @Parameter(names = "--name", description = "Name of the upstream", required = true)
  public String name;

  @Parameter(names = "--address", description = "Address to listen on and to announce")
  public String address = "127.0.0.1";

  @Parameter(names = "--port", description = "Port to listen on", required = true)
  public int port;

  @Parameter(names = "--zone", description = "Availability zone")
  public String zone = "zone-a";

  @Parameter(
      names = "--routers",
      description = "Comma-separated ip:port list of routers; none means no announcements")
  public List<String> routers = new ArrayList<>();

  @Parameter(
      names = "--upstream-key",
      description = "Bearer key for announcements (default: GOLDCRESTFALL_UPSTREAM_KEY)")
  public String upstreamKey = System.getenv().getOrDefault("GOLDCRESTFALL_UPSTREAM_KEY", "");

  @Parameter(names = "--announce-millis", description = "Interval of announcements")
  public long announceIntervalMillis = 1000;

  @Parameter(names = "--ttl-millis", description = "Time to live of an announcement")
  public long ttlMillis = 4000;

  @Parameter(
      names = "--leave-millis",
      description = "Least time between the leaving announcement and the exit")
  public long minLeavingMillis = 2000;

  @Parameter(
      names = "--slots",
      description = "Requests that run together; a service reports this without enforcing it")
  public int slots = 64;

  /** Returns the {@code ip:port} at which routers call the upstream. */
  public String announcedAddress() {
    return address + ":" + port;
  }
}
