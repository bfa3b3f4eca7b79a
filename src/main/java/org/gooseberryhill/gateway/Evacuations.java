package org.gooseberryhill.gateway;

import java.util.HashSet;
import java.util.Set;
import org.gooseberryhill.external.Transaction;
import org.gooseberryhill.timeline.EventKind;

/**
 * Tells operators that a host with a disk may be taken away. For the control thread.
 *
 * <p>All that must last is in the key-value store, so such a host has nothing to give away and is empty at once. The first
 * two gateways in turn say so, the second in case the first is lost meanwhile; saying it twice changes nothing.
 */
final class Evacuations {
    private static final int HOSTS_THAT_TELL = 2;

    /** The second in turn waits this long: the first has told by then, or is lost. */
    private static final long TURN_MILLIS = 1000;

    private static final long RETRY_MILLIS = 500;

    private final GatewayContext context;
    private final Set<String> told = new HashSet<>();

    Evacuations(GatewayContext context) {
        this.context = context;
    }

    /** Operators ask for a host to be emptied; the rank is this gateway's place among the live ones. */
    void asked(String host, long revision, int rank) {
        if (rank < HOSTS_THAT_TELL && told.add(host + "@" + revision)) {
            context.loop().after(1 + rank * TURN_MILLIS, () -> tell(host));
        }
    }

    private void tell(String host) {
        Transaction status = Transaction.builder()
                .put(
                        context.dialects().operators().evacuationStatusKey(host),
                        context.dialects().operators().evacuationStatus(true))
                .build();
        context.onLoop(context.store().write(status), (result, failure) -> {
            if (failure != null) {
                context.loop().after(RETRY_MILLIS, () -> tell(host));
                return;
            }
            context.timeline()
                    .event(EventKind.HOST_EVACUATED)
                    .with("host", host)
                    .write();
        });
    }
}
