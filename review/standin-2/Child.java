package review2;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.ProcessBuilder.Redirect;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One process of a machine, which the platform starts again a second after it has ended. Thread-safe.
 *
 * <p>Signals go only to processes that this object started.
 */
final class Child {
    private static final long RESTART_MILLIS = 1000;
    private static final long MEMORY_CHECK_MILLIS = 50;

    final String name;
    final Endpoint front;
    final Endpoint ready;
    final Endpoint peer;
    private final Deployment deployment;
    private final List<String> command;
    private final Map<String, String> environment;
    private final int memoryMegabytes;
    private final Path log;
    private Process process;
    private boolean expectedEnd;
    private boolean gone;
    private int ownEnds;
    private long peakKilobytes;

    Child(
            Deployment deployment,
            String name,
            Endpoint front,
            Endpoint ready,
            Endpoint peer,
            List<String> command,
            Map<String, String> environment,
            int memoryMegabytes,
            Path log) {
        this.deployment = deployment;
        this.name = name;
        this.front = front;
        this.ready = ready;
        this.peer = peer;
        this.command = command;
        this.environment = environment;
        this.memoryMegabytes = memoryMegabytes;
        this.log = log;
    }

    synchronized void start() {
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(command))
                .directory(deployment.root().toFile())
                .redirectErrorStream(true)
                .redirectOutput(Redirect.appendTo(log.toFile()));
        Map<String, String> kept = new HashMap<>();
        for (String variable : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (System.getenv(variable) != null) {
                kept.put(variable, System.getenv(variable));
            }
        }
        builder.environment().clear();
        builder.environment().putAll(kept);
        builder.environment().putAll(environment);
        try {
            Process started = builder.start();
            process = started;
            expectedEnd = false;
            started.onExit().thenAccept(this::ended);
            Thread watch = new Thread(() -> watchMemory(started), name + "-memory");
            watch.setDaemon(true);
            watch.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void ended(Process which) {
        synchronized (this) {
            boolean own = !expectedEnd;
            if (own) {
                ownEnds++;
            }
            deployment.record().write(
                    name + " ended, status " + which.exitValue() + (own ? ", by itself (" + ownEnds + ")" : ""));
            if (gone || deployment.closed()) {
                return;
            }
        }
        deployment.after(RESTART_MILLIS, () -> {
            synchronized (this) {
                if (!gone && !deployment.closed()) {
                    deployment.record().write(name + " is started again");
                    start();
                }
            }
        });
    }

    /** Ends the process when it uses more memory than the machine has, as the platform does. */
    private void watchMemory(Process which) {
        Path status = Path.of("/proc", Long.toString(which.pid()), "status");
        while (which.isAlive()) {
            long kilobytes = residentKilobytes(status);
            synchronized (this) {
                peakKilobytes = Math.max(peakKilobytes, kilobytes);
            }
            if (memoryMegabytes > 0 && kilobytes > memoryMegabytes * 1024L) {
                deployment.record().write(name + " uses " + kilobytes / 1024 + " MB, more than " + memoryMegabytes);
                which.destroyForcibly();
                return;
            }
            Deployment.sleep(MEMORY_CHECK_MILLIS);
        }
    }

    private static long residentKilobytes(Path status) {
        try {
            for (String line : Files.readAllLines(status)) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", ""));
                }
            }
        } catch (IOException e) {
            // The process has ended.
        }
        return 0;
    }

    synchronized void stopForGood() {
        gone = true;
        expectedEnd = true;
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    synchronized int ownEnds() {
        return ownEnds;
    }

    synchronized long peakMegabytes() {
        return peakKilobytes / 1024;
    }

    boolean isReady() {
        return Client.call(ready, "GET", "/gooseberryhill/ready", Map.of("Host", "ready"), new byte[0], 900)
                        .status()
                == 200;
    }
}
