package org.goldcrestfall.daemon.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** The operations on the files of one flat folder that the storage uses. */
public interface Disk extends Closeable {

  /** Returns the names of the files, in order. */
  List<String> list() throws IOException;

  /** Opens a file for reading and writing, and creates it if it is absent. */
  DiskFile open(String name) throws IOException;

  /** Returns the content of a file. */
  byte[] read(String name) throws IOException;

  /** Renames a file, in place of any other of that name. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file if it is there. */
  void delete(String name) throws IOException;

  /**
   * Deletes a file at some later time, or not at all if the process ends. Does not wait, because a
   * file system under load can take seconds to free the space of a file.
   */
  void deleteLater(String name);

  /** Makes creations, renames and deletions durable. */
  void syncFolder() throws IOException;

  /** An open file. */
  interface DiskFile extends Closeable {

    /** Returns the length in bytes. */
    long size() throws IOException;

    /** Writes the whole buffer at an offset. */
    void write(long offset, ByteBuffer bytes) throws IOException;

    /** Cuts the file to a length. */
    void truncate(long size) throws IOException;

    /** Makes the content and the length durable. */
    void sync() throws IOException;
  }
}
