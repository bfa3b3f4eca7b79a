package org.gooseberryhill.decision.dispatch;

/** Forecasts how long a request would wait for a slot of an endpoint. Stateless. */
final class WaitForecast {
    private WaitForecast() {}

    /** Returns the forecast in milliseconds. Batch items are not counted, since they yield to online requests. */
    static double waitMillis(FleetEndpoint endpoint, double meanRunMillis) {
        int slots = endpoint.entry().slots();
        int completionsNeeded = endpoint.online() - slots + 1;
        return completionsNeeded <= 0 ? 0 : completionsNeeded * meanRunMillis / slots;
    }
}
