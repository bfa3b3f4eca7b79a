package org.gooseberryhill.decision.batch;

/** A batch item in flight at an endpoint. Not thread-safe. */
public final class RunningItem {
    private final long run;
    private final long startNanos;
    private int tokens;

    /**
     * Creates an item that starts now.
     *
     * @param run the run number, which is unique at the item's steward
     * @param startNanos the current time, in nanoseconds
     */
    public RunningItem(long run, long startNanos) {
        this.run = run;
        this.startNanos = startNanos;
    }

    /** Returns the run number. */
    public long run() {
        return run;
    }

    /** Returns the start time, in nanoseconds. */
    public long startNanos() {
        return startNanos;
    }

    /** Returns the tokens generated so far, as last recorded. */
    public int tokens() {
        return tokens;
    }

    /** Sets the total number of tokens generated so far. */
    public void generated(int total) {
        tokens = total;
    }
}
