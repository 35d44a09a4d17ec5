package ambertrestle.relay.persistence;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;

/**
 * A folder in memory whose every step can fail, or be the last that the process takes. After a kill, what was written
 * stands up to the byte it had come to, and names stand as far as they were changed.
 */
final class FaultyStorage implements Storage {
    /** The process is gone in the middle of a step. */
    static final class ProcessKilledException extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    final TreeMap<String, byte[]> files = new TreeMap<>();
    /** What must not happen before what: each step by name. */
    final StringBuilder steps = new StringBuilder();
    /** So many units are left before the kill: a byte written is one, a rename, a sync and a deletion each one. */
    long unitsBeforeKill = Long.MAX_VALUE;
    /** So many bytes fit in all. */
    long capacityBytes = Long.MAX_VALUE;

    boolean readOnly;
    /** Another relay holds it. */
    boolean isLockedByOtherRelay;

    private void consumeUnit() {
        if (unitsBeforeKill-- <= 0) {
            throw new ProcessKilledException();
        }
    }

    private void step(String what) throws IOException {
        if (readOnly) {
            throw new IOException("Read-only file system");
        }
        consumeUnit();
        steps.append(what).append(' ');
    }

    @Override
    public void lock() throws IOException {
        if (readOnly) {
            throw new IOException("Read-only file system");
        }
        if (isLockedByOtherRelay) {
            throw new DirectoryInUseException();
        }
    }

    @Override
    public void close() {
        // Nothing is held in memory.
    }

    @Override
    public List<String> listFileNames() {
        return List.copyOf(files.keySet());
    }

    @Override
    public long size(String name) {
        return files.get(name).length;
    }

    @Override
    public byte[] read(String name) {
        return files.get(name).clone();
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        if (readOnly) {
            throw new IOException("Read-only file system");
        }
        files.put(name, new byte[0]);
        long used = files.values().stream().mapToLong(f -> f.length).sum();
        int fits = (int) Math.min(bytes.length, Math.max(0, capacityBytes - used));
        int reached = (int) Math.min(fits, unitsBeforeKill);
        files.put(name, Arrays.copyOf(bytes, reached));
        unitsBeforeKill -= reached;
        if (reached < fits) {
            throw new ProcessKilledException();
        }
        if (fits < bytes.length) {
            throw new IOException("No space left on device");
        }
        step("write+sync");
    }

    @Override
    public void rename(String from, String to) throws IOException {
        step("rename");
        files.put(to, files.remove(from));
    }

    @Override
    public void syncDirectory() throws IOException {
        step("sync-names");
    }

    @Override
    public void delete(String name) throws IOException {
        step("delete");
        files.remove(name);
    }
}
