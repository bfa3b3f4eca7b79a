package org.gooseberryhill.program;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.gooseberryhill.logging.LazyLoggers;
import org.gooseberryhill.process.HostProcess;
import org.gooseberryhill.process.ProcessExit;

/** Ends a process by a planned stop on SIGTERM or SIGINT, or at once if its control thread has failed. Stateless. */
final class ProcessLifecycle {
    private static final long LOG_STOP_TIMEOUT_MILLIS = 300;

    private ProcessLifecycle() {}

    /** Waits until the planned stop of the process has ended, then closes the program. */
    static void runUntilStopped(HostProcess process, Closeable program) throws IOException {
        CountDownLatch closed = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stopAndWait(process, closed), "stop"));
        ProcessExit.awaitEnd(process.ended(), () -> LazyLoggers.stop(LOG_STOP_TIMEOUT_MILLIS));
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
