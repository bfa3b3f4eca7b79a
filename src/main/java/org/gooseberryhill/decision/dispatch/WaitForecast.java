package org.gooseberryhill.decision.dispatch;

/** How long a request would wait for a slot of an endpoint. Stateless. */
final class WaitForecast {
    private WaitForecast() {}

    /** The forecast in milliseconds; batch items don't count, since they yield. */
    static double waitMillis(FleetEndpoint endpoint, double meanRunMillis) {
        int slots = endpoint.entry().slots();
        int before = endpoint.online() - slots + 1;
        return before <= 0 ? 0 : before * meanRunMillis / slots;
    }
}
