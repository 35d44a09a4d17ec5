package ambertrestle.relay.persistence;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;

/**
 * A state directory in memory with fault injection: any step can fail, or the process can be killed during it. After a
 * kill, a file holds the bytes that were written until then, and renames and deletions that were done remain done.
 */
final class FaultyStorage implements Storage {
    /** Simulates a kill of the process during a step. */
    static final class ProcessKilledException extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /** The files' content by name. */
    final TreeMap<String, byte[]> files = new TreeMap<>();
    /** The completed steps in their order, each followed by a space. */
    final StringBuilder steps = new StringBuilder();
    /** Units of work before the kill: each byte written is one unit, and so is each sync, rename and deletion. */
    long unitsBeforeKill = Long.MAX_VALUE;
    /** How many bytes the disk can hold. */
    long capacityBytes = Long.MAX_VALUE;

    /** Whether the file system is mounted read-only. */
    boolean isReadOnly;

    /** Whether {@link #lock} fails because another relay holds the lock. */
    boolean isLockedByOtherRelay;

    /** Uses one unit of work; kills the process if none is left. */
    private void consumeUnit() {
        if (unitsBeforeKill-- <= 0) {
            throw new ProcessKilledException();
        }
    }

    /** Records a step, or fails or kills the process in its place. */
    private void runStep(String name) throws IOException {
        if (isReadOnly) {
            throw new IOException("Read-only file system");
        }
        consumeUnit();
        steps.append(name).append(' ');
    }

    @Override
    public void lock() throws IOException {
        if (isReadOnly) {
            throw new IOException("Read-only file system");
        }
        if (isLockedByOtherRelay) {
            throw new DirectoryInUseException();
        }
    }

    @Override
    public void close() {
        // There is no lock to release.
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
        if (isReadOnly) {
            throw new IOException("Read-only file system");
        }
        files.put(name, new byte[0]);
        long usedBytes = files.values().stream().mapToLong(f -> f.length).sum();
        int fittingBytes = (int) Math.min(bytes.length, Math.max(0, capacityBytes - usedBytes));
        int writtenBytes = (int) Math.min(fittingBytes, unitsBeforeKill);
        files.put(name, Arrays.copyOf(bytes, writtenBytes));
        unitsBeforeKill -= writtenBytes;
        if (writtenBytes < fittingBytes) {
            throw new ProcessKilledException();
        }
        if (fittingBytes < bytes.length) {
            throw new IOException("No space left on device");
        }
        runStep("write+sync");
    }

    @Override
    public void rename(String from, String to) throws IOException {
        runStep("rename");
        files.put(to, files.remove(from));
    }

    @Override
    public void syncDirectory() throws IOException {
        runStep("sync-names");
    }

    @Override
    public void delete(String name) throws IOException {
        runStep("delete");
        files.remove(name);
    }
}
