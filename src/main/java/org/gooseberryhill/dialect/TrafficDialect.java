package org.gooseberryhill.dialect;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.gooseberryhill.contract.Refusal;

/** How requests and answers carry what the system must know of them. Thread-safe; translates and decides nothing. */
public interface TrafficDialect {
    /** What a request says of itself; what can't be read counts as not said. */
    RequestTraits read(HttpHeaders request);

    /** Adds to a request what an endpoint must be told with an attempt. */
    void addAttempt(HttpHeaders request, AttemptTraits attempt);

    /** Whether an answer says that the endpoint has not run the request and never will. */
    boolean isNotRun(int status, HttpHeaders answer);

    /**
     * Whether an answer is an endpoint's own. Failure: an endpoint crashes while it writes the head of its answer, and what
     * came of it looks like a success without a body.
     */
    boolean isGenuine(int status, HttpHeaders answer);

    /** The request that an answer belongs to, where it says so. */
    Optional<String> requestId(HttpHeaders answer);

    /** The endpoint that gave an answer, where it says so. */
    Optional<String> endpointId(HttpHeaders answer);

    /** The status that tells a caller of a refusal: one that promises not-run only if the refusal does. */
    int status(Refusal refusal);
}
