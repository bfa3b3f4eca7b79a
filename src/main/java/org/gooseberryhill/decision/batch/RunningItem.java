package org.gooseberryhill.decision.batch;

/**
 * A batch item in flight at an endpoint. Not thread-safe.
 */
public final class RunningItem {
    private final long run;
    private final long startNanos;
    private int tokens;

    /** An item that starts now; the run number is unique at its steward. */
    public RunningItem(long run, long startNanos) {
        this.run = run;
        this.startNanos = startNanos;
    }

    /** The run's number. */
    public long run() {
        return run;
    }

    /** When it started. */
    public long startNanos() {
        return startNanos;
    }

    /** Tokens generated so far in this run. */
    public int tokens() {
        return tokens;
    }

    /** More tokens came. */
    public void generated(int total) {
        tokens = total;
    }
}
