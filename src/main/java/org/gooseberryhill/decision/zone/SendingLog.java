package org.gooseberryhill.decision.zone;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Condenses the requests that a coordinator sends to other zones into one start and one end for each time of it. Not thread-safe. */
final class SendingLog {
    /** Longer than a request, so that a single load peak is one time; bounds the lines of a pair of zones to one a second. */
    private static final long QUIET_NANOS = TimeUnit.MILLISECONDS.toNanos(2000);

    private final Map<ZonePair, Sending> sendings = new HashMap<>();
    private final List<SendingChange> changes = new ArrayList<>();

    /** Records a request that is sent to another zone. */
    void sent(ZonePair direction, LeaveReason reason, double waitMillis, double costMillis, long nowNanos) {
        Sending sending = sendings.get(direction);
        if (sending == null) {
            long finiteWaitMillis = reason == LeaveReason.NO_USABLE_ENDPOINT ? 0 : Math.round(waitMillis);
            sending = new Sending(new SendingChange(
                    direction.service(),
                    direction.from(),
                    direction.to(),
                    true,
                    reason,
                    finiteWaitMillis,
                    Math.round(costMillis),
                    1));
            sendings.put(direction, sending);
            changes.add(sending.start);
        }
        sending.requests++;
        sending.lastNanos = nowNanos;
    }

    /** Returns and clears the starts and ends since the last call. */
    List<SendingChange> takeChanges(long nowNanos) {
        for (Iterator<Sending> all = sendings.values().iterator(); all.hasNext(); ) {
            Sending sending = all.next();
            if (nowNanos - sending.lastNanos >= QUIET_NANOS) {
                changes.add(sending.end());
                all.remove();
            }
        }
        if (changes.isEmpty()) {
            return List.of();
        }
        List<SendingChange> taken = List.copyOf(changes);
        changes.clear();
        return taken;
    }

    /** The requests sent in one direction since its start. */
    private static final class Sending {
        private final SendingChange start;
        private int requests;
        private long lastNanos;

        Sending(SendingChange start) {
            this.start = start;
        }

        SendingChange end() {
            return new SendingChange(
                    start.service(),
                    start.from(),
                    start.to(),
                    false,
                    start.reason(),
                    start.waitMillis(),
                    start.costMillis(),
                    requests);
        }
    }
}
