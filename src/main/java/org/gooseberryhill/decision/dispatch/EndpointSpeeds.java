package org.gooseberryhill.decision.dispatch;

import java.util.Map;
import org.gooseberryhill.directory.EndpointKey;

/** Learns from answered attempts how long requests run at each endpoint. */
public interface EndpointSpeeds {
    /** Records an attempt that an endpoint answered completely. */
    void attemptAnswered(String service, EndpointKey endpoint, AttemptTiming timing, long nowNanos);

    /** Returns the expected durations at the endpoints of a service, for use at the given time only. */
    RelativeDurations of(String service, long nowNanos);

    /** Returns the expected relative duration of each endpoint with recent attempts, whether or not it is used. */
    Map<EndpointKey, Double> observed(long nowNanos);
}
