package org.gooseberryhill.decision.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import org.gooseberryhill.directory.EndpointKey;

/**
 * Expects at each endpoint what its last answered attempts show, compared with those of the whole service. Not thread-safe.
 *
 * <p>Load pattern: endpoints of a service run at 0.6 to 1.6 times the usual speed for good, and some take 2.5 times as long
 * for half a second at a time. With one mean for all, the wait at a full slow endpoint is forecast too short, and requests
 * that wait there are late while faster endpoints have room.
 *
 * <p>Invariants: while the endpoints of a service differ by less than a fifth, all are expected to be equal. An expected
 * duration is between a quarter of the mean and four times the mean. An endpoint without attempts approaches the mean, so
 * that it gets requests again. Only answered attempts count, so errors and cut connections never make an endpoint fast.
 */
public final class ObservedEndpointSpeeds implements EndpointSpeeds {
    /** The last nine attempts have most of the weight. */
    private static final double NEWEST_WEIGHT = 0.2;

    private static final double MAX_ATTEMPTS = 10;

    /** Weight of the mean of the service, in attempts: an endpoint with few attempts counts as usual. */
    private static final double PRIOR_ATTEMPTS = 2;

    /** As the mean run time of a service: about the last thirty attempts of an endpoint each. */
    private static final double SERVICE_NEWEST_WEIGHT = 1.0 / 128;

    /** Time without attempts after which the past ones count half: several times a slow period. */
    private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Smaller differences are within the effect of the load on the time between events, which is an eighth. */
    private static final double MIN_RATIO = 1.2;

    private static final double MAX_RELATIVE = 4;

    /** Endpoints leave and restart; by then nothing of their attempts counts any longer. */
    private static final long FORGET_AFTER_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final ToLongFunction<AttemptTiming> measure;
    private final Map<String, ServiceAttempts> services = new HashMap<>();

    /** Creates speeds that compare the time between events. */
    public ObservedEndpointSpeeds() {
        this(AttemptTiming::eventNanos);
    }

    /**
     * Creates speeds that compare a part of the timing.
     *
     * @param measure returns the time to compare; 0 if an attempt does not count
     */
    public ObservedEndpointSpeeds(ToLongFunction<AttemptTiming> measure) {
        this.measure = measure;
    }

    @Override
    public void attemptAnswered(String service, EndpointKey endpoint, AttemptTiming timing, long nowNanos) {
        long nanos = measure.applyAsLong(timing);
        if (nanos > 0) {
            services.computeIfAbsent(service, key -> new ServiceAttempts(nanos)).add(endpoint, nanos, nowNanos);
        }
    }

    @Override
    public RelativeDurations of(String service, long nowNanos) {
        ServiceAttempts attempts = services.get(service);
        if (attempts == null || !attempts.differ(nowNanos)) {
            return RelativeDurations.UNIFORM;
        }
        return endpoint -> attempts.relative(endpoint, nowNanos);
    }

    @Override
    public Map<EndpointKey, Double> observed(long nowNanos) {
        Map<EndpointKey, Double> all = new HashMap<>();
        services.values()
                .forEach(attempts -> attempts.byEndpoint
                        .keySet()
                        .forEach(endpoint -> all.put(endpoint, attempts.relative(endpoint, nowNanos))));
        return all;
    }

    /** The recent attempts of a service. */
    private static final class ServiceAttempts {
        private final ExponentialMovingAverage meanNanos;
        private final Map<EndpointKey, EndpointAttempts> byEndpoint = new HashMap<>();

        ServiceAttempts(long firstNanos) {
            meanNanos = new ExponentialMovingAverage(firstNanos, SERVICE_NEWEST_WEIGHT);
        }

        void add(EndpointKey endpoint, long nanos, long nowNanos) {
            double bounded =
                    Math.min(MAX_RELATIVE, Math.max(1 / MAX_RELATIVE, nanos / meanNanos.value())) * meanNanos.value();
            meanNanos.add(bounded);
            if (!byEndpoint.containsKey(endpoint)) {
                byEndpoint.values().removeIf(attempts -> nowNanos - attempts.latestNanos > FORGET_AFTER_NANOS);
            }
            byEndpoint.computeIfAbsent(endpoint, key -> new EndpointAttempts()).add(bounded, nowNanos);
        }

        boolean differ(long nowNanos) {
            double min = Double.MAX_VALUE;
            double max = 0;
            for (EndpointAttempts attempts : byEndpoint.values()) {
                double relative = attempts.relative(meanNanos.value(), nowNanos);
                min = Math.min(min, relative);
                max = Math.max(max, relative);
            }
            return max >= MIN_RATIO * min;
        }

        double relative(EndpointKey endpoint, long nowNanos) {
            EndpointAttempts attempts = byEndpoint.get(endpoint);
            return attempts == null ? 1 : attempts.relative(meanNanos.value(), nowNanos);
        }
    }

    /** The recent attempts at an endpoint. */
    private static final class EndpointAttempts {
        private double meanNanos;
        private double count;
        private long latestNanos;

        void add(double nanos, long nowNanos) {
            count = Math.min(MAX_ATTEMPTS, count(nowNanos) + 1);
            meanNanos += Math.max(NEWEST_WEIGHT, 1 / count) * (nanos - meanNanos);
            latestNanos = nowNanos;
        }

        double relative(double serviceNanos, long nowNanos) {
            double known = count(nowNanos);
            double relative = (known * meanNanos / serviceNanos + PRIOR_ATTEMPTS) / (known + PRIOR_ATTEMPTS);
            return Math.min(MAX_RELATIVE, Math.max(1 / MAX_RELATIVE, relative));
        }

        private double count(long nowNanos) {
            return count * Math.pow(0.5, (nowNanos - latestNanos) / HALF_LIFE_NANOS);
        }
    }
}
