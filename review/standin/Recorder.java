package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to the record of a case, with the milliseconds since its start. Thread-safe. */
final class Recorder implements AutoCloseable {
    /** The status of a driver whose rule was broken; the virtual machine itself ends with 1 if a driver fails. */
    static final int BROKEN_STATUS = 10;

    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    long nowMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void write(String format, Object... arguments) {
        out.printf("%7d ", nowMillis());
        out.println(arguments.length == 0 ? format : String.format(format, arguments));
        out.flush();
    }

    /** Writes a line to the record and to standard output. */
    void tell(String format, Object... arguments) {
        write(format, arguments);
        System.out.println(arguments.length == 0 ? format : String.format(format, arguments));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
