import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Http {

  /** A message; header names are in lower case. */
  record Message(String firstLine, Map<String, String> headers, byte[] body) {

    int status() {
      return Integer.parseInt(firstLine.substring(9, 12));
    }
  }

  private Http() {}

  /** Reads a message, or returns null if the connection ends before it. */
  static Message read(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new HashMap<>();
    for (String l = line(in); ; l = line(in)) {
      if (l == null) {
        throw new IOException("the connection ended inside a head");
      }
      if (l.isEmpty()) {
        break;
      }
      int colon = l.indexOf(':');
      headers.put(l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).trim());
    }
    return new Message(first, headers, body(in, headers));
  }

  private static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
    if (!headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
      return exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      String size = line(in);
      if (size == null) {
        throw new IOException("the connection ended inside a body");
      }
      int length = Integer.parseInt(size.trim(), 16);
      body.writeBytes(exactly(in, length));
      line(in);
      if (length == 0) {
        return body.toByteArray();
      }
    }
  }

  private static byte[] exactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new IOException("the connection ended inside a body");
    }
    return bytes;
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c >= 0; c = in.read()) {
      if (c == '\n') {
        int end = line.length();
        return end > 0 && line.charAt(end - 1) == '\r' ? line.substring(0, end - 1) : line.toString();
      }
      line.append((char) c);
    }
    return null;
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  static void chunk(OutputStream out, String text) throws IOException {
    write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }
}
