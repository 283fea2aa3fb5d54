package org.goldcrestfall.daemon.gateway;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketException;

/** A response as a strict caller reads it, with its framing removed from the body. */
record HttpReply(int status, String head, String body, boolean complete) {

  private static final HttpReply NONE = new HttpReply(0, "", "", false);

  /** Returns the value of a header, or an empty string. */
  String header(String name) {
    for (String line : head.split("\r\n")) {
      if (line.toLowerCase().startsWith(name.toLowerCase() + ":")) {
        return line.substring(name.length() + 1).trim();
      }
    }
    return "";
  }

  /**
   * Reads one response and no byte after it. A response that ends early is not complete; one
   * without a length is complete at the end of the connection, unless that is a reset.
   */
  static HttpReply read(InputStream in, boolean toHead) throws IOException {
    String head = "";
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    int status = 0;
    try {
      head = readUntil(in, "\r\n\r\n");
      if (!head.matches("(?s)HTTP/1\\.1 [2-5]\\d\\d [^\r\n]*\r\n.*")) {
        throw new IOException("no response: " + head);
      }
      status = Integer.parseInt(head.substring(9, 12));
      HttpReply r = new HttpReply(status, head, "", true);
      boolean empty = toHead || status == 204 || status == 304;
      if (!empty && r.header("transfer-encoding").equals("chunked")) {
        readChunks(in, body);
      } else if (!empty && !r.header("content-length").isEmpty()) {
        int length = Integer.parseInt(r.header("content-length"));
        body.write(in.readNBytes(length));
        if (body.size() < length) {
          throw new EOFException();
        }
      } else if (!empty) {
        body.write(in.readAllBytes());
      }
      return new HttpReply(status, head, body.toString(ISO_8859_1), true);
    } catch (EOFException | SocketException e) {
      return status == 0 ? NONE : new HttpReply(status, head, body.toString(ISO_8859_1), false);
    }
  }

  private static void readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
    while (true) {
      int size = Integer.parseInt(readUntil(in, "\r\n").trim(), 16);
      if (size == 0) {
        while (!readUntil(in, "\r\n").equals("\r\n")) {}
        return;
      }
      byte[] chunk = in.readNBytes(size);
      body.write(chunk);
      if (chunk.length < size || !readUntil(in, "\r\n").equals("\r\n")) {
        throw new EOFException();
      }
    }
  }

  private static String readUntil(InputStream in, String end) throws IOException {
    StringBuilder text = new StringBuilder();
    while (text.length() < end.length()
        || !text.substring(text.length() - end.length()).equals(end)) {
      int b = in.read();
      if (b < 0) {
        throw new EOFException();
      }
      text.append((char) b);
    }
    return text.toString();
  }
}
