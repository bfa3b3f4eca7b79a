package org.gooseberryhill.dialect;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import org.gooseberryhill.contract.Refusal;

/** Translates the metadata that requests and answers carry for the system. Thread-safe; makes no decisions. */
public interface TrafficDialect {
    /** Returns the metadata of a request; values that cannot be parsed count as absent. */
    RequestMetadata parseRequest(HttpHeaders request);

    /**
     * Returns the key of a client account that a request bears; empty if there is none, or more than one, so that it is not
     * clear whose request it is.
     */
    Optional<String> accountKey(HttpHeaders request);

    /**
     * Adds the metadata of an attempt to a request. If the caller is attributed, the request loses its key, and whatever the
     * caller may have sent as the name of an account.
     */
    void addAttemptMetadata(HttpHeaders request, AttemptMetadata attempt);

    /** Returns whether an answer states that the endpoint has not run the request and never will. */
    boolean isNotRun(int status, HttpHeaders answer);

    /**
     * Returns whether an endpoint itself produced an answer. This check guards against an endpoint that crashes while
     * it writes the head of its answer: the part that arrived looks like a success without a body.
     */
    boolean isFromEndpoint(int status, HttpHeaders answer);

    /** Returns whether an answer bears the signature of an endpoint. */
    boolean isSigned(HttpHeaders answer);

    /** Returns whether callers take a status as the promise that their request has not run, whatever else the answer says. */
    boolean promisesNotRun(int status);

    /** Returns the id of the request to which an answer belongs, if the answer states it. */
    Optional<String> requestId(HttpHeaders answer);

    /** Returns the id of the endpoint that gave an answer, if the answer states it. */
    Optional<String> endpointId(HttpHeaders answer);

    /** Returns the names of the fields that an answer of an endpoint bears at most once, in addition to those of HTTP. */
    List<String> singleAnswerFields();

    /**
     * Returns the status code for a refusal. A code which promises that the request was not run is returned only if the
     * refusal promises this.
     */
    int statusOf(Refusal refusal);
}
