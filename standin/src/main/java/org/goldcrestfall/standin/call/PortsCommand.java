package org.goldcrestfall.standin.call;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** The subcommand {@code ports}, which finds free ports for scripts. */
@Parameters(commandDescription = "Print free loopback ports on one line")
public final class PortsCommand {

  @Parameter(names = "--count", description = "Count of ports")
  public int count = 1;

  @Parameter(names = "--help", help = true, description = "Show this help")
  public boolean help;

  /**
   * Prints the ports. All of them are bound at the same time, so that they are distinct, and
   * released before this method returns.
   *
   * @return the exit code
   */
  public int printFreePorts(PrintStream out) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
      }
      List<String> ports =
          sockets.stream().map(socket -> String.valueOf(socket.getLocalPort())).toList();
      out.println(String.join(" ", ports));
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
    return 0;
  }
}
