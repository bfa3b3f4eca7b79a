package org.gooseberryhill.program;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.gooseberryhill.process.HostProcess;

/** Ends a process by a planned stop on SIGTERM or SIGINT. Stateless. */
final class ProcessLifecycle {
    private ProcessLifecycle() {}

    /** Waits until the planned stop of the process has ended, then closes the program. */
    static void runUntilStopped(HostProcess process, Closeable program) throws IOException {
        CountDownLatch closed = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stopAndWait(process, closed), "stop"));
        process.ended().join();
        program.close();
        closed.countDown();
    }

    private static void stopAndWait(HostProcess process, CountDownLatch closed) {
        process.requestStop();
        try {
            closed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
