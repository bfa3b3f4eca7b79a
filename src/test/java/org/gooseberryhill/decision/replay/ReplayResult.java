package org.gooseberryhill.decision.replay;

import java.util.Locale;

/**
 * The outcome of a replayed load, as counts. Immutable.
 *
 * @param calls streamed requests
 * @param onTime calls whose first event arrived within the target latency, without a refusal
 * @param onTimeAfterRefusal calls that were refused early and then on time, as measured from their second attempt
 * @param served calls that received their whole answer
 * @param refusedTwice calls whose retry was refused as well
 * @param items batch items
 * @param itemsOnTime batch items that were done by the due time of their batch
 */
record ReplayResult(
        int calls, int onTime, int onTimeAfterRefusal, int served, int refusedTwice, int items, int itemsOnTime) {
    double onTimeShare() {
        return (double) onTime / calls;
    }

    double servedShare() {
        return (double) served / calls;
    }

    double refusedTwiceShare() {
        return (double) refusedTwice / calls;
    }

    double itemsOnTimeShare() {
        return items == 0 ? 1 : (double) itemsOnTime / items;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%d streams: on time %.3f, after a refusal %.3f, served %.3f, refused twice %.3f; %d items: on time %.3f",
                calls,
                onTimeShare(),
                (double) onTimeAfterRefusal / calls,
                servedShare(),
                refusedTwiceShare(),
                items,
                itemsOnTimeShare());
    }
}
