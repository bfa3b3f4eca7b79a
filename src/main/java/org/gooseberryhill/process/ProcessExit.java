package org.gooseberryhill.process;

import java.util.concurrent.CompletableFuture;

/**
 * Ends the JVM of a program. Stateless; for main methods only, since it ends everything that runs in the JVM.
 *
 * <p>Invariant: the JVM ends even if nothing can be logged or allocated any more.
 */
public final class ProcessExit {
    /** Exit status after an {@link Error} of a thread on which the process depends; a new process has sound state. */
    public static final int THREAD_FAILED = 3;

    private ProcessExit() {}

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
