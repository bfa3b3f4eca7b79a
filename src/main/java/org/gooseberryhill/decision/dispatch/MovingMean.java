package org.gooseberryhill.decision.dispatch;

/** A mean in which newer values weigh more (exponentially weighted). Not thread-safe. */
public final class MovingMean {
    private final double newestWeight;
    private double value;

    /**
     * A mean.
     *
     * @param initial its value before the first one is added
     * @param newestWeight the weight of each new value, 0 to 1
     */
    public MovingMean(double initial, double newestWeight) {
        this.value = initial;
        this.newestWeight = newestWeight;
    }

    /** The mean now. */
    public double value() {
        return value;
    }

    /** Adds a value. */
    public void add(double newest) {
        value += newestWeight * (newest - value);
    }
}
