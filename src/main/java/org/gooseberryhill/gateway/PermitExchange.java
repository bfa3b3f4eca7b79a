package org.gooseberryhill.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.gooseberryhill.decision.ownership.Ownership;
import org.gooseberryhill.decision.promptpart.IsolationPermit;
import org.gooseberryhill.decision.promptpart.IsolationPermits;
import org.gooseberryhill.decision.promptpart.PermitAnswer;
import org.gooseberryhill.decision.promptpart.PromptPartKey;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.peer.PeerLane;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.peer.QuarantineMessage;

/**
 * Asks one host for permits to run requests with suspected parts, and grants them where this host is the one. Confined to the control
 * thread.
 *
 * <p>Invariant: a permit that arrives too late is returned.
 */
final class PermitExchange {
    /** Several round trips between availability zones. */
    private static final long TIMEOUT_MILLIS = 50;

    /** After this time a late permit is not waited for any more; it expires. */
    private static final long ANSWER_TIMEOUT_MILLIS = 1000;

    private final GatewayContext context;
    private final PeerLinks links;
    private final IsolationPermits permits = new IsolationPermits();

    PermitExchange(GatewayContext context, PeerLinks links) {
        this.context = context;
        this.links = links;
    }

    /** Asks for a permit; the receiver is called once. */
    void ask(Set<PromptPartKey> parts, boolean confined, List<EndpointKey> endpoints, Consumer<PermitAnswer> receiver) {
        Host host = grantingHost(parts);
        QuarantineMessage.PermitRequest request = new QuarantineMessage.PermitRequest(parts, confined, endpoints);
        if (isSelf(host)) {
            receiver.accept(toAnswer(parts, answer(request)));
            return;
        }
        PendingPermit pending = new PendingPermit(parts, receiver);
        context.onLoop(
                context.peers().ask(host.address(), PeerLane.CONTROL, request, ANSWER_TIMEOUT_MILLIS),
                pending::onReply);
        context.loop().after(TIMEOUT_MILLIS, pending::onTimeout);
    }

    /** Returns a permit. */
    void release(IsolationPermit permit) {
        Host host = grantingHost(permit.parts());
        if (isSelf(host)) {
            permits.release(permit);
        } else {
            context.peers().post(host.address(), PeerLane.CONTROL, new QuarantineMessage.PermitReturned(permit));
        }
    }

    /** Answers a host that asks for a permit. */
    QuarantineMessage.Permit answer(QuarantineMessage.PermitRequest request) {
        Optional<IsolationPermit> permit =
                permits.tryAcquire(request.parts(), request.confined(), request.endpoints(), context.nowNanos());
        return new QuarantineMessage.Permit(permit.isPresent(), permit.flatMap(IsolationPermit::endpoint));
    }

    /** Handles the return of a permit. */
    void onReturned(QuarantineMessage.PermitReturned returned) {
        permits.release(returned.permit());
    }

    /** Returns the host that grants permits for the service that the parts belong to. */
    private Host grantingHost(Set<PromptPartKey> parts) {
        String service = parts.iterator().next().version().service();
        List<Host> hosts = new ArrayList<>(links.gatewaysWithPromptParts());
        hosts.add(context.settings().self());
        return Ownership.ownerOfSuspects(service, hosts).orElseThrow();
    }

    private boolean isSelf(Host host) {
        return host.id().equals(context.settings().self().id());
    }

    private static PermitAnswer toAnswer(Set<PromptPartKey> parts, QuarantineMessage.Permit permit) {
        return permit.granted()
                ? PermitAnswer.granted(new IsolationPermit(parts, permit.endpoint()))
                : PermitAnswer.DENIED;
    }

    /** A request for a permit that is answered once: by the reply, or by the timeout. */
    private final class PendingPermit {
        private final Set<PromptPartKey> parts;
        private final Consumer<PermitAnswer> receiver;
        private boolean answered;

        PendingPermit(Set<PromptPartKey> parts, Consumer<PermitAnswer> receiver) {
            this.parts = parts;
            this.receiver = receiver;
        }

        void onReply(PeerMessage reply, Throwable failure) {
            PermitAnswer answer = reply instanceof QuarantineMessage.Permit permit
                    ? toAnswer(parts, permit)
                    : PermitAnswer.UNANSWERED;
            if (answered) {
                answer.permit().ifPresent(PermitExchange.this::release);
                return;
            }
            answered = true;
            receiver.accept(answer);
        }

        void onTimeout() {
            if (!answered) {
                answered = true;
                receiver.accept(PermitAnswer.UNANSWERED);
            }
        }
    }
}
