package ambertrestle.relay.durable;

import ambertrestle.relay.durable.StateFile.Reason;
import ambertrestle.relay.durable.StateFile.Refused;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The two newest generations of a relay's state in one folder. A file has its name only once it is whole: it is written
 * under another, synced, renamed, and the folder synced, before the generation before the last goes. One user at a
 * time.
 */
final class Folder {
    private static final Pattern NAME = Pattern.compile("state-(\\d{18})"),
            HALF = Pattern.compile("state-\\d{18}\\.new");
    private static final int GENERATIONS = 2;

    private final Disk disk;
    private final String relay;
    private final long mostAge;
    private final long mostBytes;
    /** Files that are this relay's to delete, oldest first. */
    private final List<String> ours = new ArrayList<>();

    private long generation;

    /** One file that was not taken, and why. */
    record Passed(String file, Refused why) {}

    /** The newest that is whole and this relay's, or null, and those passed over before it was met. */
    record Found(Picture picture, List<Passed> passed) {}

    Folder(Disk disk, String relay, long mostAge, long mostBytes) {
        this.disk = disk;
        this.relay = relay;
        this.mostAge = mostAge;
        this.mostBytes = mostBytes;
    }

    /** Reads it all; call it once, before the first write. */
    Found read(long now) throws IOException {
        List<String> files = new ArrayList<>(
                disk.names().stream().filter(n -> NAME.matcher(n).matches()).toList());
        files.sort(Comparator.reverseOrder());
        Picture found = null;
        List<Passed> passed = new ArrayList<>();
        for (String file : files) {
            generation = Math.max(generation, Long.parseLong(file.substring(6)));
            try {
                Picture picture = picture(file, now);
                if (found == null) {
                    found = picture;
                }
                ours.add(0, file);
            } catch (Refused e) {
                if (found == null) {
                    passed.add(new Passed(file, e));
                }
                // What another relay or a later version may still want is left where it is.
                if (e.reason == Reason.TORN
                        || e.reason == Reason.CHECKSUM
                        || e.reason == Reason.MALFORMED
                        || e.reason == Reason.TOO_OLD) {
                    ours.add(0, file);
                }
            }
        }
        return new Found(found, passed);
    }

    private Picture picture(String file, long now) throws Refused {
        byte[] bytes;
        try {
            // Danger: whatever stands under that name is read into memory; a relay must not die of it.
            if (disk.size(file) > mostBytes) {
                throw new Refused(Reason.TOO_LARGE, disk.size(file) + " bytes");
            }
            bytes = disk.read(file);
        } catch (IOException e) {
            throw new Refused(Reason.UNREADABLE, String.valueOf(e.getMessage()));
        }
        Picture picture = StateFile.decode(bytes);
        if (!picture.relay().equals(relay)) {
            throw new Refused(Reason.OTHER_RELAY, picture.relay());
        }
        if (now - picture.keptAt() > mostAge) {
            throw new Refused(Reason.TOO_OLD, (now - picture.keptAt()) / 1_000_000_000L + " s");
        }
        return picture;
    }

    /** Keeps one more generation. Where it throws, the one before is still whole. */
    void write(byte[] file) throws IOException {
        long next = generation + 1;
        String name = String.format(java.util.Locale.ROOT, "state-%018d", next);
        String half = name + ".new";
        // Danger: after a failed try the name may stand; a generation is never written twice.
        generation = next;
        try {
            disk.write(half, file);
            disk.rename(half, name);
            ours.add(name);
            disk.syncNames();
        } catch (IOException e) {
            clear(half);
            throw e;
        }
        while (ours.size() > GENERATIONS) {
            disk.delete(ours.get(0));
            ours.remove(0);
        }
    }

    /** Danger: on a full disk what is half written would keep it full. */
    private void clear(String half) {
        try {
            disk.delete(half);
        } catch (IOException e) {
            // The next start clears it; the failure that led here is the one to tell.
        }
    }

    /** What earlier processes left half written. */
    void clearHalves() throws IOException {
        for (String name : disk.names()) {
            if (HALF.matcher(name).matches()) {
                disk.delete(name);
            }
        }
    }
}
