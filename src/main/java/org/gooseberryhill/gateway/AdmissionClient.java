package org.gooseberryhill.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.gooseberryhill.account.AccountQuota;
import org.gooseberryhill.account.ClientAccount;
import org.gooseberryhill.decision.coordination.GroupRouting;
import org.gooseberryhill.decision.coordination.SlotCoordinator;
import org.gooseberryhill.decision.dispatch.Admission;
import org.gooseberryhill.decision.quota.LocalAllowance;
import org.gooseberryhill.decision.share.ConfiguredShares;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.CoordinationMessage;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.timeline.EventKind;

/**
 * Asks whether the quotas of client accounts allow requests that no coordinator has placed. Confined to the control thread.
 *
 * <p>Invariant: what {@link LocalAllowance} allows is admitted at once, the rest only if a coordinator says so.
 */
final class AdmissionClient {
    /** A request that starts this late is worth more than one that is rejected, and coordinators are late in turn. */
    private static final long TIMEOUT_MILLIS = 150;

    private final GatewayContext context;
    private final PeerLinks links;
    private final GroupRouting routing;
    private final SlotCoordinator coordinator;
    private final LocalAllowance localAllowance;
    private final Random random = new Random();
    private volatile boolean quotasInUse;

    AdmissionClient(GatewayContext context, PeerLinks links, GroupRouting routing, SlotCoordinator coordinator) {
        this.context = context;
        this.links = links;
        this.routing = routing;
        this.coordinator = coordinator;
        this.localAllowance = new LocalAllowance(context.nowNanos());
    }

    /** Puts the quotas of a configuration into force. */
    void configure(List<ClientAccount> accounts) {
        Map<String, AccountQuota> quotas = accounts.stream()
                .filter(account -> account.quota().isPresent())
                .collect(Collectors.toMap(
                        ClientAccount::name, account -> account.quota().get()));
        coordinator.quotas().configure(quotas, context.nowNanos());
        localAllowance.configure(quotas);
        coordinator.shareBy(ConfiguredShares.of(coordinator.shares(), !accounts.isEmpty(), quotas, random));
        quotasInUse = !quotas.isEmpty();
    }

    /** Returns whether an account has a quota; may be called from any thread. */
    boolean areQuotasInUse() {
        return quotasInUse;
    }

    /** Asks whether a request of an account may run; the receiver gets nothing if nobody can tell. */
    void ask(String account, Consumer<Optional<Admission>> receiver) {
        if (isCoordinator()) {
            receiver.accept(Optional.of(coordinator.admit(account, context.nowNanos())));
            return;
        }
        int hosts = links.gateways().size() + 1;
        if (localAllowance.admit(account, hosts, context.nowNanos())) {
            receiver.accept(Optional.of(new Admission(Optional.empty())));
            return;
        }
        Optional<Host> host = localAllowance.isIsolated(context.nowNanos())
                ? Optional.empty()
                : routing.otherCoordinator(context.nowNanos());
        if (host.isEmpty()) {
            logUnanswered(account, "no coordinator has answered for a while");
            receiver.accept(Optional.empty());
            return;
        }
        PeerMessage request = new CoordinationMessage.AdmissionRequest(account);
        context.onLoop(links.ask(host.get(), request, TIMEOUT_MILLIS), (reply, failure) -> {
            if (reply instanceof CoordinationMessage.AdmissionReply answer) {
                recordAnswer(account, answer.admission());
                receiver.accept(Optional.of(answer.admission()));
                return;
            }
            routing.markUnresponsive(host.get().id(), context.nowNanos());
            logUnanswered(account, "no answer of " + host.get().id());
            receiver.accept(Optional.empty());
        });
    }

    /** Answers a host that asks whether a request may run. */
    PeerMessage answer(CoordinationMessage.AdmissionRequest request) {
        coordinator.quotas().contacted(context.nowNanos());
        return new CoordinationMessage.AdmissionReply(coordinator.admit(request.account(), context.nowNanos()));
    }

    private boolean isCoordinator() {
        HostId self = context.settings().self().id();
        return routing.coordinators().stream().anyMatch(host -> host.id().equals(self));
    }

    /** Records what a coordinator decided on a request of an account, from which follows what this host may admit itself. */
    void recordAnswer(String account, Admission admission) {
        if (admission.retryAfterMillis().isPresent()) {
            localAllowance.recordRejected(account, context.nowNanos());
        } else {
            localAllowance.recordAdmitted(account, context.nowNanos());
        }
    }

    /** Records that an answer of a coordinator came too late to be used. */
    void recordLateAnswer() {
        localAllowance.recordAnswer(context.nowNanos());
    }

    private void logUnanswered(String account, String reason) {
        context.timeline()
                .event(EventKind.ADMISSION_UNANSWERED)
                .with("account", account)
                .with("reason", reason)
                .write();
    }
}
