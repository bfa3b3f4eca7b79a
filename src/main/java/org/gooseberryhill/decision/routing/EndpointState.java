package org.gooseberryhill.decision.routing;

import java.util.concurrent.TimeUnit;
import org.gooseberryhill.configuration.EndpointSettings;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * What one entry host knows of an endpoint: its own requests exactly, the others' as last reported. Not thread-safe.
 */
public final class EndpointState {
    /** Weight of the newest sample in the mean run time. */
    private static final double MEAN_WEIGHT = 0.1;

    private static final double INITIAL_RUN_MILLIS = 200;
    private static final int FAILURES_BEFORE_EJECTION = 3;
    private static final long FIRST_EJECTION_MILLIS = 500;
    private static final int MAX_EJECTION_DOUBLINGS = 6;

    private EndpointSettings settings;
    private int ownInFlight;
    private int othersInFlight;
    private int batchInFlight;
    private double meanRunMillis = INITIAL_RUN_MILLIS;
    private int failuresInRow;
    private int ejections;
    private long ejectedUntilNanos = Long.MIN_VALUE;
    private boolean leaving;

    EndpointState(EndpointSettings settings) {
        this.settings = settings;
    }

    /** The endpoint's name. */
    public String name() {
        return settings.name();
    }

    /** The endpoint's settings. */
    public EndpointSettings settings() {
        return settings;
    }

    /** Online requests in flight, own and others'. */
    public int onlineInFlight() {
        return ownInFlight + othersInFlight;
    }

    /** This entry's own online requests in flight. */
    public int ownInFlight() {
        return ownInFlight;
    }

    /** How long a request would wait for a slot, in milliseconds; batch doesn't count, since it yields. */
    public double predictedWaitMillis() {
        int waiting = onlineInFlight() - settings.slots() + 1;
        if (waiting <= 0) {
            return 0;
        }
        return waiting * meanRunMillis / settings.slots();
    }

    /** Online requests in flight as a share of the slots. */
    public double load() {
        return (double) onlineInFlight() / settings.slots();
    }

    /** Batch items in flight as a share of the slots. */
    public double batchLoad() {
        return (double) batchInFlight / settings.slots();
    }

    /** Whether the endpoint is in a zone. */
    public boolean isIn(AvailabilityZone zone) {
        return settings.zone().equals(zone);
    }

    /** Whether new requests may go there: it is not leaving and not ejected. */
    public boolean isEligible(long nowNanos) {
        return !isLeaving() && !isEjected(nowNanos);
    }

    /** Whether failures have taken it out for now. */
    public boolean isEjected(long nowNanos) {
        return ejectedUntilNanos != Long.MIN_VALUE && nowNanos - ejectedUntilNanos < 0;
    }

    /** Whether it is known to be leaving, from any source. */
    public boolean isLeaving() {
        return leaving || settings.leaving();
    }

    void settings(EndpointSettings newSettings) {
        settings = newSettings;
    }

    void leaving(boolean nowLeaving) {
        leaving = nowLeaving;
    }

    void reported(int online, int batch) {
        othersInFlight = Math.max(0, online - ownInFlight);
        batchInFlight = batch;
    }

    void started() {
        ownInFlight++;
    }

    void ended() {
        ownInFlight--;
    }

    void succeeded(long runNanos) {
        failuresInRow = 0;
        ejections = 0;
        ejectedUntilNanos = Long.MIN_VALUE;
        double runMillis = (double) runNanos / TimeUnit.MILLISECONDS.toNanos(1);
        meanRunMillis += MEAN_WEIGHT * (runMillis - meanRunMillis);
    }

    /** Counts a failure; returns whether it is time to eject. */
    boolean failed(boolean unreachable) {
        failuresInRow++;
        return unreachable || failuresInRow >= FAILURES_BEFORE_EJECTION;
    }

    void eject(long nowNanos) {
        long millis = FIRST_EJECTION_MILLIS << Math.min(ejections, MAX_EJECTION_DOUBLINGS);
        ejections++;
        ejectedUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
