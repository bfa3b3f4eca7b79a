package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to a file, with seconds since its creation. Thread-safe. */
final class Recorder implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void write(String text) {
        String line = String.format("%8.3f  %s", seconds(), text);
        out.println(line);
        out.flush();
    }

    @Override
    public void close() {
        out.close();
    }
}
