package org.goldcrestfall.daemon.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** File operations on a folder without subfolders, as the storage needs them. */
public interface Disk extends Closeable {

  /** Returns the names of the files in lexicographical order. */
  List<String> list() throws IOException;

  /** Opens a file for reading and writing; creates it if it does not exist. */
  DiskFile open(String name) throws IOException;

  /** Returns the content of a file. */
  byte[] read(String name) throws IOException;

  /** Renames a file atomically; replaces an existing file with the new name. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file if it exists. */
  void delete(String name) throws IOException;

  /**
   * Deletes a file in the background and returns at once, because a file system under load can take
   * seconds to free the space of a file. If the process ends before, the file remains.
   */
  void deleteLater(String name);

  /** Makes the creation, renaming and deletion of files durable. */
  void syncFolder() throws IOException;

  /** An open file. */
  interface DiskFile extends Closeable {

    /** Returns the length in bytes. */
    long size() throws IOException;

    /** Writes the whole buffer at an offset. */
    void write(long offset, ByteBuffer bytes) throws IOException;

    /** Truncates the file to a length in bytes. */
    void truncate(long size) throws IOException;

    /** Makes the content and the length durable. */
    void sync() throws IOException;
  }
}
