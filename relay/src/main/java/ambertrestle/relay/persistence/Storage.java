package ambertrestle.relay.persistence;

import java.io.IOException;
import java.util.List;

/** One folder's files, and each step of keeping one that can fail by itself; tests put failures in its place. */
interface Storage extends AutoCloseable {
    /**
     * Returns once it is held, also where it was before; throws {@link DirectoryInUseException} while another relay
     * holds it.
     */
    void lock() throws IOException;

    @Override
    void close() throws IOException;

    List<String> listFileNames() throws IOException;

    long size(String name) throws IOException;

    byte[] read(String name) throws IOException;

    /** Makes a new file of it, and returns once the device has it. */
    void write(String name, byte[] bytes) throws IOException;

    /** At once or not at all. */
    void rename(String from, String to) throws IOException;

    /** Returns once the device has the folder's names. */
    void syncDirectory() throws IOException;

    void delete(String name) throws IOException;
}
