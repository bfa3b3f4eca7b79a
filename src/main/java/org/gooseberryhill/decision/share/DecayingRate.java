package org.gooseberryhill.decision.share;

/** A rate of events of which older ones weigh less, by an exponential with a time constant. Not thread-safe. */
final class DecayingRate {
    private final double timeConstantNanos;
    private double count;
    private long updatedNanos;

    DecayingRate(long timeConstantNanos) {
        this.timeConstantNanos = timeConstantNanos;
    }

    void add(long nowNanos) {
        count = countAt(nowNanos) + 1;
        updatedNanos = nowNanos;
    }

    double perSecond(long nowNanos) {
        return countAt(nowNanos) / timeConstantNanos * 1e9;
    }

    private double countAt(long nowNanos) {
        return count == 0 ? 0 : count * Math.exp(-Math.max(0, nowNanos - updatedNanos) / timeConstantNanos);
    }
}
