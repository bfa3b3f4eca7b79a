package org.gooseberryhill.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.junit.jupiter.api.Test;

class BlockedOutputTest {
    private static final int LINES = 200_000;

    /**
     * Nobody reads a process's standard output, so the pipe fills and the logging thread blocks forever. Threads that
     * log must run to completion, and dropped messages are counted.
     */
    @Test
    void aBlockedStandardOutputDoesNotBlockThreadsThatLog() throws IOException, InterruptedException {
        ProcessBuilder builder = new ProcessBuilder(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                Flood.class.getName()));
        Process process = builder.start();
        try (BufferedReader errors =
                new BufferedReader(new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8))) {
            String line = errors.readLine();
            assertThat(line).startsWith("dropped ");
            assertThat(Long.parseLong(line.substring("dropped ".length()))).isPositive();
        } finally {
            process.destroyForcibly();
            process.waitFor(10, TimeUnit.SECONDS);
        }
    }

    /** Logs far more than a pipe and the ring buffer hold, then prints the number of dropped messages. */
    static final class Flood {
        private Flood() {}

        public static void main(String... arguments) {
            LineConfigurationFactory.install();
            Logger log = LogManager.getLogger(Flood.class);
            for (int i = 0; i < LINES; i++) {
                log.info("line {} with some more text so that the pipe is soon full", i);
            }
            System.err.println("dropped " + DroppingQueueFullPolicy.droppedCount());
        }
    }
}
