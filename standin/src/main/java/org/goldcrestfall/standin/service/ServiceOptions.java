package org.goldcrestfall.standin.service;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.goldcrestfall.standin.upstream.UpstreamOptions;

/** Options of the stand-in service. */
@Parameters(commandDescription = "Run a stand-in plain service")
public final class ServiceOptions {

  @ParametersDelegate public UpstreamOptions upstream = new UpstreamOptions();

  @Parameter(names = "--service", description = "Name of the service that it offers")
  public String service = "workshop";

  @Parameter(names = "--delay-millis", description = "Time that a call takes")
  public long delayMillis = 0;

  @Parameter(
      names = "--fault",
      description = "none, drop (close the connection after the run) or refuse (503 before it)")
  public FaultMode fault = FaultMode.NONE;

  @Parameter(names = "--fault-share", description = "Share of the calls that the fault affects")
  public double faultShare = 1.0;

  @Parameter(names = "--seed", description = "Seed of the choice of affected calls")
  public long seed = 1;

  @Parameter(names = "--help", help = true, description = "Show this help")
  public boolean help;
}
