package org.goldcrestfall.daemon.gateway;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** An upstream on loopback that responds to each request as the script of a test defines. */
final class ScriptedUpstream implements AutoCloseable {

  /** What the upstream does with a request. */
  interface Script {
    void respond(Call call) throws Exception;
  }

  /** A request as it was received, and the connection to respond on. */
  record Call(String head, String body, Socket socket) {

    /** Returns the value of a header, or an empty string. */
    String header(String name) {
      for (String line : head.split("\r\n")) {
        if (line.toLowerCase().startsWith(name.toLowerCase() + ": ")) {
          return line.substring(name.length() + 2);
        }
      }
      return "";
    }

    void write(String text) throws IOException {
      OutputStream out = socket.getOutputStream();
      out.write(text.getBytes(ISO_8859_1));
      out.flush();
    }

    /** Writes a complete response to this request. */
    void reply(int status, String headers, String content) throws IOException {
      write(formatResponse(header("X-Id"), status, headers, content));
    }

    /** Closes the connection with a TCP reset. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  final List<Call> calls = new CopyOnWriteArrayList<>();
  final List<Socket> closedByPeer = new CopyOnWriteArrayList<>();
  private final ServerSocket server;
  private final Script script;
  private final boolean respondsBeforeBody;
  private final Thread acceptor = new Thread(this::acceptConnections, "scripted-upstream");

  /**
   * Starts the upstream.
   *
   * @param respondsBeforeBody whether the script runs before the body of a request is read
   */
  ScriptedUpstream(Script script, boolean respondsBeforeBody) throws IOException {
    this.script = script;
    this.respondsBeforeBody = respondsBeforeBody;
    server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    acceptor.setDaemon(true);
    acceptor.start();
  }

  static String formatResponse(String id, int status, String headers, String content) {
    return "HTTP/1.1 "
        + status
        + " X\r\nX-Id: "
        + id
        + "\r\n"
        + headers
        + "Content-Length: "
        + content.length()
        + "\r\n\r\n"
        + content;
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  private void acceptConnections() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        Thread t = new Thread(() -> serve(socket), "scripted-connection");
        t.setDaemon(true);
        t.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try {
      InputStream in = socket.getInputStream();
      while (true) {
        String head = readHead(in);
        if (head.isEmpty()) {
          closedByPeer.add(socket);
          return;
        }
        Call headOnly = new Call(head, "", socket);
        if (respondsBeforeBody) {
          script.respond(headOnly);
        }
        String length = headOnly.header("content-length");
        byte[] body = in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
        Call call = new Call(head, new String(body, ISO_8859_1), socket);
        calls.add(call);
        if (!respondsBeforeBody) {
          script.respond(call);
        }
      }
    } catch (Exception e) {
      closedByPeer.add(socket);
    }
  }

  private static String readHead(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    int b;
    while ((b = in.read()) >= 0) {
      out.write(b);
      String text = out.toString(ISO_8859_1);
      if (text.endsWith("\r\n\r\n")) {
        return text;
      }
    }
    return "";
  }

  /**
   * Refuses connections from its return on: the listening socket stays open until the thread that
   * accepts connections has left its system call.
   */
  @Override
  public void close() throws IOException {
    server.close();
    Uninterruptibles.joinUninterruptibly(acceptor);
  }
}
