package org.gooseberryhill.decision.batch;

/** A batch item in flight at an endpoint. Not thread-safe. */
public final class RunningItem {
    private final long runNumber;
    private final long startNanos;
    private int tokens;

    /**
     * Creates an item that starts now.
     *
     * @param runNumber the run number, which is unique at the item's steward
     * @param startNanos the current time, in nanoseconds
     */
    public RunningItem(long runNumber, long startNanos) {
        this.runNumber = runNumber;
        this.startNanos = startNanos;
    }

    /** Returns the run number. */
    public long runNumber() {
        return runNumber;
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
    public void setTokens(int total) {
        tokens = total;
    }
}
