package org.gooseberryhill.decision.routing;

import java.util.concurrent.TimeUnit;
import org.gooseberryhill.configuration.EndpointSettings;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * Tracks the load and health of an endpoint as seen by one entry host. Not thread-safe.
 *
 * <p>The host's own requests in flight are counted exactly; those of other hosts are as last reported.
 */
public final class EndpointState {
    /** Weight of the newest sample in the exponential moving average of the run time. */
    private static final double NEWEST_SAMPLE_WEIGHT = 0.1;

    private static final double INITIAL_MEAN_RUN_MILLIS = 200;
    private static final int FAILURES_BEFORE_EJECTION = 3;
    private static final long FIRST_EJECTION_MILLIS = 500;
    private static final int MAX_EJECTION_DOUBLINGS = 6;

    private EndpointSettings settings;
    private int ownInFlight;
    private int othersInFlight;
    private int batchInFlight;
    private double meanRunMillis = INITIAL_MEAN_RUN_MILLIS;
    private int consecutiveFailures;
    private int consecutiveEjections;
    private long ejectedUntilNanos = Long.MIN_VALUE;
    private boolean leaving;

    EndpointState(EndpointSettings settings) {
        this.settings = settings;
    }

    /** Returns the endpoint's name. */
    public String name() {
        return settings.name();
    }

    /** Returns the endpoint's settings. */
    public EndpointSettings settings() {
        return settings;
    }

    /** Returns the online requests in flight, from this host and as reported for others. */
    public int onlineInFlight() {
        return ownInFlight + othersInFlight;
    }

    /** Returns the online requests in flight from this entry host. */
    public int ownInFlight() {
        return ownInFlight;
    }

    /** Returns the expected wait for a slot, in milliseconds; batch items are not counted, since they yield. */
    public double predictedWaitMillis() {
        int completionsNeeded = onlineInFlight() - settings.slots() + 1;
        if (completionsNeeded <= 0) {
            return 0;
        }
        return completionsNeeded * meanRunMillis / settings.slots();
    }

    /** Returns the online requests in flight as a share of the slots. */
    public double load() {
        return (double) onlineInFlight() / settings.slots();
    }

    /** Returns the batch items in flight as a share of the slots. */
    public double batchLoad() {
        return (double) batchInFlight / settings.slots();
    }

    /** Returns whether the endpoint is in the availability zone. */
    public boolean isInZone(AvailabilityZone zone) {
        return settings.zone().equals(zone);
    }

    /** Returns whether the endpoint may get new requests: it is neither leaving nor ejected. */
    public boolean isEligible(long nowNanos) {
        return !isLeaving() && !isEjected(nowNanos);
    }

    /** Returns whether the endpoint is temporarily excluded because of failures. */
    public boolean isEjected(long nowNanos) {
        return ejectedUntilNanos != Long.MIN_VALUE && nowNanos - ejectedUntilNanos < 0;
    }

    /** Returns whether any source says that the endpoint is leaving. */
    public boolean isLeaving() {
        return leaving || settings.leaving();
    }

    void setSettings(EndpointSettings newSettings) {
        settings = newSettings;
    }

    void setLeaving(boolean nowLeaving) {
        leaving = nowLeaving;
    }

    void recordReport(int online, int batch) {
        othersInFlight = Math.max(0, online - ownInFlight);
        batchInFlight = batch;
    }

    void recordStart() {
        ownInFlight++;
    }

    void recordEnd() {
        ownInFlight--;
    }

    void recordSuccess(long runNanos) {
        consecutiveFailures = 0;
        consecutiveEjections = 0;
        ejectedUntilNanos = Long.MIN_VALUE;
        double runMillis = (double) runNanos / TimeUnit.MILLISECONDS.toNanos(1);
        meanRunMillis += NEWEST_SAMPLE_WEIGHT * (runMillis - meanRunMillis);
    }

    /** Counts a failure and returns whether the endpoint should be ejected. */
    boolean recordFailure(boolean unreachable) {
        consecutiveFailures++;
        return unreachable || consecutiveFailures >= FAILURES_BEFORE_EJECTION;
    }

    void eject(long nowNanos) {
        long millis = FIRST_EJECTION_MILLIS << Math.min(consecutiveEjections, MAX_EJECTION_DOUBLINGS);
        consecutiveEjections++;
        ejectedUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
