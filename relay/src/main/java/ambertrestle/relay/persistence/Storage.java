package ambertrestle.relay.persistence;

import java.io.IOException;
import java.util.List;

/**
 * The file operations on one state directory. Every operation that can fail on its own is a separate method, so that
 * tests can inject failures. File names are relative to the directory. All methods block.
 */
interface Storage extends AutoCloseable {
    /**
     * Takes the exclusive lock on the directory. Idempotent: does nothing if this instance already holds the lock.
     *
     * @throws DirectoryInUseException if another relay holds the lock
     */
    void lock() throws IOException;

    /** Releases the lock, if it is held. */
    @Override
    void close() throws IOException;

    /** Returns the names of all files in the directory, in any order. */
    List<String> listFileNames() throws IOException;

    /** Returns the size of the file in bytes. */
    long size(String name) throws IOException;

    byte[] read(String name) throws IOException;

    /**
     * Creates the file, or truncates an existing one, writes the bytes and calls fsync on it. If it throws, a partially
     * written file may remain.
     */
    void write(String name, byte[] bytes) throws IOException;

    /** Renames a file atomically, replacing an existing file of the new name. */
    void rename(String from, String to) throws IOException;

    /** Calls fsync on the directory, so that created, renamed and deleted names survive a power failure. */
    void syncDirectory() throws IOException;

    /** Deletes the file if it exists. */
    void delete(String name) throws IOException;
}
