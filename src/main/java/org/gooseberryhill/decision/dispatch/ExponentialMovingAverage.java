package org.gooseberryhill.decision.dispatch;

/** Computes an exponentially weighted moving mean. Not thread-safe. */
public final class ExponentialMovingAverage {
    private final double newestWeight;
    private double value;

    /**
     * Creates a mean.
     *
     * @param initial the mean before the first value is added
     * @param newestWeight the weight of each new value, 0 to 1
     */
    public ExponentialMovingAverage(double initial, double newestWeight) {
        this.value = initial;
        this.newestWeight = newestWeight;
    }

    /** Returns the current mean. */
    public double value() {
        return value;
    }

    /** Replaces the mean. */
    public void reset(double newMean) {
        value = newMean;
    }

    /** Adds a value to the mean. */
    public void add(double newest) {
        value += newestWeight * (newest - value);
    }
}
