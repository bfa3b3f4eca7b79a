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
 * <p>Such a host stores submissions only until the key-value store has recorded them. A request for the number of its
 * submissions makes the host create their records at once and accept no further ones; it can be removed when none are
 * left. A host that can't be reached for a while is reported as removable too: waiting would not save the submissions
 * that it stores, and other hosts have copies of them. The gateways of ranks 0 and 1 report, the latter in case the
 * former is lost in the meantime; reporting twice changes nothing.
 */
final class EvacuationReporter {
    private static final int REPORTING_GATEWAYS = 2;

    /**
     * Delay after which the gateway of rank 1 checks the host and reports as well: by then the gateway of rank 0 has
     * reported or is lost.
     */
    private static final long REPORT_DELAY_MILLIS = 1000;

    private static final long RETRY_MILLIS = 500;

    /**
     * Time after which a host that can't be reached is reported as removable. Allows for several requests to the host,
     * and is a fraction of the time that operators allow.
     */
    private static final long UNREACHABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(3000);

    private final GatewayContext context;
    private final PeerLinks links;
    private final Set<String> handledRequests = new HashSet<>();

    EvacuationReporter(GatewayContext context, PeerLinks links) {
        this.context = context;
        this.links = links;
    }

    /**
     * Handles a request of operators to evacuate a host.
     *
     * @param rank the number of live gateways whose ids precede this gateway's id
     */
    void evacuationRequested(String host, long revision, int rank) {
        if (rank < REPORTING_GATEWAYS && handledRequests.add(host + "@" + revision)) {
            context.loop()
                    .after(
                            1 + rank * REPORT_DELAY_MILLIS,
                            () -> checkSubmissions(new Evacuation(host, context.nowNanos())));
        }
    }

    private void checkSubmissions(Evacuation evacuation) {
        Optional<Host> host = links.diskHosts().stream()
                .filter(candidate -> candidate.id().value().equals(evacuation.host))
                .findFirst();
        if (host.isEmpty()) {
            onUnreachable(evacuation);
            return;
        }
        context.onLoop(links.ask(host.get(), new OutboxMessage.StateRequest()), (reply, failure) -> {
            if (!(reply instanceof OutboxMessage.State state)) {
                onUnreachable(evacuation);
            } else if (state.submissions() == 0) {
                writeStatus(evacuation.host, true);
            } else {
                reportInProgressOnce(evacuation);
                scheduleCheck(evacuation);
            }
        });
    }

    private void onUnreachable(Evacuation evacuation) {
        if (context.nowNanos() - evacuation.startedNanos >= UNREACHABLE_NANOS) {
            writeStatus(evacuation.host, true);
        } else {
            scheduleCheck(evacuation);
        }
    }

    private void scheduleCheck(Evacuation evacuation) {
        context.loop().after(RETRY_MILLIS, () -> checkSubmissions(evacuation));
    }

    private void reportInProgressOnce(Evacuation evacuation) {
        if (!evacuation.inProgressReported) {
            evacuation.inProgressReported = true;
            writeStatus(evacuation.host, false);
        }
    }

    private void writeStatus(String host, boolean done) {
        Transaction status = Transaction.builder()
                .put(
                        context.dialects().operators().evacuationStatusKey(host),
                        context.dialects().operators().evacuationStatus(done))
                .build();
        context.onLoop(context.store().write(status), (result, failure) -> {
            if (failure != null && done) {
                context.loop().after(RETRY_MILLIS, () -> writeStatus(host, true));
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
        private final long startedNanos;
        private boolean inProgressReported;

        Evacuation(String host, long startedNanos) {
            this.host = host;
            this.startedNanos = startedNanos;
        }
    }
}
