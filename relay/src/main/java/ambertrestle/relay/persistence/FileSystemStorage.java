package ambertrestle.relay.persistence;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/**
 * The state directory on the file system. It is locked by a lock on a file in it, which the operating system releases
 * when the process ends, also after a crash or a kill.
 */
final class FileSystemStorage implements Storage {
    private static final String LOCK_FILE = "lock";

    private final Path directory;
    /** The open lock file while the lock is held, otherwise null. */
    private FileChannel lockChannel;

    FileSystemStorage(Path directory) {
        this.directory = directory;
    }

    /** Without the lock, two relays that use the same directory would delete each other's newest state files. */
    @Override
    public void lock() throws IOException {
        if (lockChannel != null) {
            return;
        }
        lockChannel =
                FileChannel.open(directory.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock;
        try {
            lock = lockChannel.tryLock();
        } catch (OverlappingFileLockException e) {
            // Another relay in this process holds the lock.
            lock = null;
        }
        if (lock == null) {
            close();
            throw new DirectoryInUseException();
        }
    }

    @Override
    public void close() throws IOException {
        if (lockChannel != null) {
            lockChannel.close();
            lockChannel = null;
        }
    }

    @Override
    public List<String> listFileNames() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.map(f -> f.getFileName().toString()).sorted().toList();
        } catch (java.io.UncheckedIOException e) {
            throw e.getCause();
        }
    }

    @Override
    public long size(String name) throws IOException {
        return Files.size(directory.resolve(name));
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(directory.resolve(name));
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        try (FileChannel file = FileChannel.open(
                directory.resolve(name),
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer remaining = ByteBuffer.wrap(bytes);
            while (remaining.hasRemaining()) {
                file.write(remaining);
            }
            file.force(true);
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(directory.resolve(from), directory.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void syncDirectory() throws IOException {
        try (FileChannel directoryChannel = FileChannel.open(directory, StandardOpenOption.READ)) {
            directoryChannel.force(true);
        }
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(directory.resolve(name));
    }
}
