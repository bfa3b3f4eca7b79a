package org.gooseberryhill.process;

import io.vavr.Lazy;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.logging.log4j.Logger;
import org.gooseberryhill.logging.LazyLoggers;

/**
 * Ends the JVM of a program. Stateless; for main methods only, since it ends everything that runs in the JVM.
 *
 * <p>Invariant: the JVM ends even if nothing can be logged or allocated any more.
 */
public final class ProcessExit {
    /** Exit status after an {@link Error} of a thread on which the process depends; a new process has sound state. */
    public static final int THREAD_FAILED = 3;

    /** Exit status of a process that could not start, for example because an address is in use. */
    public static final int NOT_STARTED = 1;

    private static final Lazy<Logger> LOG = LazyLoggers.of(ProcessExit.class);

    private ProcessExit() {}

    /**
     * Starts a process and returns it. Halts the JVM with {@link #NOT_STARTED} if that throws something; the threads that
     * are started by then would otherwise keep the JVM alive and its sockets open.
     *
     * @param logTimeoutMillis the time limit for writing the last log lines, in milliseconds
     */
    public static <T> T startOrHalt(Supplier<T> start, long logTimeoutMillis) {
        try {
            return start.get();
        } catch (Throwable e) {
            // Netty throws the checked exception of an address in use, which the compiler does not know of.
            try {
                LOG.get().error("the process cannot start", e);
            } finally {
                halt(NOT_STARTED, () -> LazyLoggers.stop(logTimeoutMillis));
            }
            throw e;
        }
    }

    /**
     * Waits until a process has ended. Halts the JVM with {@link #THREAD_FAILED} if the process has ended exceptionally.
     *
     * @param flushLog writes the last log lines within a time limit
     */
    public static void awaitEnd(CompletableFuture<Void> ended, Runnable flushLog) {
        boolean planned = false;
        try {
            ended.join();
            planned = true;
        } finally {
            if (!planned) {
                halt(THREAD_FAILED, flushLog);
            }
        }
    }

    /** Writes the last log lines, then halts the JVM. */
    public static void halt(int status, Runnable flushLog) {
        try {
            flushLog.run();
        } finally {
            Runtime.getRuntime().halt(status);
        }
    }
}
