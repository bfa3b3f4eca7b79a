package org.gooseberryhill.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.external.Transaction;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.peer.OutboxMessage;
import org.gooseberryhill.timeline.EventKind;

/**
 * Reports to operators when a host with a disk can be removed. Confined to the control thread.
 *
 * <p>Such a host keeps submissions only while the key-value store lacks them. Asking for their number makes the host
 * create their records at once and accept no more; it can be removed when none are left. A host that can't be reached
 * for a while is reported as removable too: waiting would not save what it keeps, and other hosts have copies. The
 * first two gateways by rank do this, the second in case the first is lost in the meantime; reporting twice changes
 * nothing.
 */
final class Evacuations {
    private static final int HOSTS_THAT_TELL = 2;

    /** Delay of the second gateway: by then the first one has reported, or is lost. */
    private static final long TURN_MILLIS = 1000;

    private static final long RETRY_MILLIS = 500;

    /** Allows for several attempts to ask the host, and is a fraction of the time that operators allow. */
    private static final long UNREACHABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(3000);

    private final GatewayContext context;
    private final PeerLinks links;
    private final Set<String> told = new HashSet<>();

    Evacuations(GatewayContext context, PeerLinks links) {
        this.context = context;
        this.links = links;
    }

    /**
     * Handles a request of operators to evacuate a host.
     *
     * @param rank the position of this gateway among the live ones
     */
    void asked(String host, long revision, int rank) {
        if (rank < HOSTS_THAT_TELL && told.add(host + "@" + revision)) {
            context.loop().after(1 + rank * TURN_MILLIS, () -> ask(new Evacuation(host, context.nowNanos())));
        }
    }

    private void ask(Evacuation evacuation) {
        Optional<Host> host = links.stores().stream()
                .filter(store -> store.id().value().equals(evacuation.host))
                .findFirst();
        if (host.isEmpty()) {
            unanswered(evacuation);
            return;
        }
        context.onLoop(links.ask(host.get(), new OutboxMessage.StateAsk()), (reply, failure) -> {
            if (!(reply instanceof OutboxMessage.State state)) {
                unanswered(evacuation);
            } else if (state.submissions() == 0) {
                tell(evacuation.host, true);
            } else {
                tellRunning(evacuation);
                again(evacuation);
            }
        });
    }

    private void unanswered(Evacuation evacuation) {
        if (context.nowNanos() - evacuation.sinceNanos >= UNREACHABLE_NANOS) {
            tell(evacuation.host, true);
        } else {
            again(evacuation);
        }
    }

    private void again(Evacuation evacuation) {
        context.loop().after(RETRY_MILLIS, () -> ask(evacuation));
    }

    private void tellRunning(Evacuation evacuation) {
        if (!evacuation.runningTold) {
            evacuation.runningTold = true;
            tell(evacuation.host, false);
        }
    }

    private void tell(String host, boolean done) {
        Transaction status = Transaction.builder()
                .put(
                        context.dialects().operators().evacuationStatusKey(host),
                        context.dialects().operators().evacuationStatus(done))
                .build();
        context.onLoop(context.store().write(status), (result, failure) -> {
            if (failure != null && done) {
                context.loop().after(RETRY_MILLIS, () -> tell(host, true));
                return;
            }
            context.timeline()
                    .event(EventKind.HOST_EVACUATED)
                    .with("host", host)
                    .with("done", done)
                    .with("told", failure == null)
                    .write();
        });
    }

    /** The evacuation of one host. */
    private static final class Evacuation {
        private final String host;
        private final long sinceNanos;
        private boolean runningTold;

        Evacuation(String host, long sinceNanos) {
            this.host = host;
            this.sinceNanos = sinceNanos;
        }
    }
}
