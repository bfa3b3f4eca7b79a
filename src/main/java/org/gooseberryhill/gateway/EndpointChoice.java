package org.gooseberryhill.gateway;

import org.gooseberryhill.decision.dispatch.RoutedRequest;

/** Who chose the endpoint of an attempt; for an endpoint of another zone, why the attempt left its zone. */
enum EndpointChoice {
    /** The coordinator of a group that another coordinator named, since its own group was full or had no usable endpoint. */
    REDIRECTED("redirected"),

    /**
     * The coordinator of the group that the host asked itself: the first one in its order, or the next one if that did not answer
     * or had no endpoint.
     */
    ASKED("asked"),

    /** The host, since no coordinator answered. */
    HOST("host");

    private final String label;

    EndpointChoice(String label) {
        this.label = label;
    }

    static EndpointChoice of(RoutedRequest request, boolean assigned) {
        if (!assigned) {
            return HOST;
        }
        return request.wasRedirected() ? REDIRECTED : ASKED;
    }

    String label() {
        return label;
    }
}
