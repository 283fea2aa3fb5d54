import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A minimal HTTP/1.1 codec on blocking sockets. */
final class Http {

  /** A request or response; {@code start} is its first line. */
  record Message(String start, List<String[]> headers, byte[] body, boolean complete) {

    String header(String name) {
      for (String[] h : headers) {
        if (h[0].equalsIgnoreCase(name)) {
          return h[1];
        }
      }
      return null;
    }

    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }

    String method() {
      return start.split(" ")[0];
    }

    String path() {
      return start.split(" ")[1];
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  private Http() {}

  static Socket connect(String ip, int port, int timeoutMillis) throws IOException {
    Socket s = new Socket();
    s.setTcpNoDelay(true);
    s.connect(new InetSocketAddress(InetAddress.getByName(ip), port), timeoutMillis);
    return s;
  }

  /** Sends one request on a new connection and returns the response. */
  static Message call(
      String ip, int port, String method, String path, String body, int timeoutMillis)
      throws IOException {
    try (Socket s = connect(ip, port, Math.min(1_000, timeoutMillis))) {
      s.setSoTimeout(timeoutMillis);
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      String head =
          method
              + " "
              + path
              + " HTTP/1.1\r\nHost: "
              + ip
              + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
              + bytes.length
              + "\r\n\r\n";
      s.getOutputStream().write(concat(head.getBytes(StandardCharsets.ISO_8859_1), bytes));
      return readResponse(s.getInputStream());
    }
  }

  static byte[] concat(byte[] a, byte[] b) {
    byte[] out = java.util.Arrays.copyOf(a, a.length + b.length);
    System.arraycopy(b, 0, out, a.length, b.length);
    return out;
  }

  /** Reads a line without its end, or null at the end of the stream. */
  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b; (b = in.read()) != '\n'; ) {
      if (b < 0) {
        return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
      }
      line.write(b);
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }

  private static List<String[]> readHeaders(InputStream in) throws IOException {
    List<String[]> headers = new ArrayList<>();
    for (String line; !(line = orEof(readLine(in))).isEmpty(); ) {
      int colon = line.indexOf(':');
      headers.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
    }
    return headers;
  }

  private static String orEof(String line) throws IOException {
    if (line == null) {
      throw new EOFException("the connection ended inside a head");
    }
    return line;
  }

  /** Reads a request, or returns null at the end of the stream. */
  static Message readRequest(InputStream in) throws IOException {
    String start = readLine(in);
    if (start == null) {
      return null;
    }
    Message head = new Message(start, readHeaders(in), new byte[0], true);
    return new Message(start, head.headers(), readBody(in, head, false), true);
  }

  /** Reads a response; one that ends early is returned with {@code complete} false. */
  static Message readResponse(InputStream in) throws IOException {
    String start = orEof(readLine(in));
    Message head = new Message(start, readHeaders(in), new byte[0], true);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      readBody(in, head, true, body);
      return new Message(start, head.headers(), body.toByteArray(), true);
    } catch (IOException e) {
      return new Message(start, head.headers(), body.toByteArray(), false);
    }
  }

  private static byte[] readBody(InputStream in, Message head, boolean response)
      throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    readBody(in, head, response, body);
    return body.toByteArray();
  }

  private static void readBody(
      InputStream in, Message head, boolean response, ByteArrayOutputStream body)
      throws IOException {
    String encoding = head.header("Transfer-Encoding");
    String length = head.header("Content-Length");
    if (encoding != null && encoding.toLowerCase(Locale.ROOT).contains("chunked")) {
      while (true) {
        int size = Integer.parseInt(orEof(readLine(in)).split(";")[0].trim(), 16);
        copy(in, size, body);
        orEof(readLine(in));
        if (size == 0) {
          return;
        }
      }
    } else if (length != null) {
      copy(in, Integer.parseInt(length), body);
    } else if (response) {
      for (int b; (b = in.read()) >= 0; ) {
        body.write(b);
      }
    }
  }

  private static void copy(InputStream in, int size, ByteArrayOutputStream out)
      throws IOException {
    byte[] buffer = new byte[8_192];
    for (int left = size; left > 0; ) {
      int n = in.read(buffer, 0, Math.min(left, buffer.length));
      if (n < 0) {
        throw new EOFException("the connection ended inside a body");
      }
      out.write(buffer, 0, n);
      left -= n;
    }
  }
}
