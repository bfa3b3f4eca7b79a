package org.gooseberryhill.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.gooseberryhill.account.AccountQuota;
import org.gooseberryhill.account.ClientAccount;
import org.gooseberryhill.decision.coordination.GroupRouting;
import org.gooseberryhill.decision.coordination.SlotCoordinator;
import org.gooseberryhill.decision.dispatch.Admission;
import org.gooseberryhill.decision.quota.LocalAllowance;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.CoordinationMessage;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.timeline.EventKind;

/**
 * Asks whether the quotas of client accounts allow requests that no coordinator has placed. Confined to the control thread.
 *
 * <p>Invariant: a host that no coordinator answers admits what {@link LocalAllowance} allows, and no more.
 */
final class AdmissionClient {
    /** Several round trips between availability zones. */
    private static final long TIMEOUT_MILLIS = 40;

    private final GatewayContext context;
    private final PeerLinks links;
    private final GroupRouting routing;
    private final SlotCoordinator coordinator;
    private final LocalAllowance localAllowance = new LocalAllowance();

    AdmissionClient(GatewayContext context, PeerLinks links, GroupRouting routing, SlotCoordinator coordinator) {
        this.context = context;
        this.links = links;
        this.routing = routing;
        this.coordinator = coordinator;
    }

    /** Puts the quotas of a configuration into force. */
    void configure(List<ClientAccount> accounts) {
        Map<String, AccountQuota> quotas = accounts.stream()
                .filter(account -> account.quota().isPresent())
                .collect(Collectors.toMap(
                        ClientAccount::name, account -> account.quota().get()));
        coordinator.quotas().configure(quotas, context.nowNanos());
        localAllowance.configure(quotas);
    }

    /** Asks whether a request of an account may run; the receiver gets nothing if nobody can tell. */
    void ask(String account, Consumer<Optional<Admission>> receiver) {
        if (isCoordinator()) {
            receiver.accept(Optional.of(coordinator.admit(account, context.nowNanos())));
            return;
        }
        Optional<Host> host = routing.responsiveCoordinator(context.nowNanos());
        if (host.isEmpty()) {
            receiver.accept(admitLocally(account, "no coordinator answers"));
            return;
        }
        PeerMessage request = new CoordinationMessage.AdmissionRequest(account);
        context.onLoop(links.ask(host.get(), request, TIMEOUT_MILLIS), (reply, failure) -> {
            if (reply instanceof CoordinationMessage.AdmissionReply answer) {
                receiver.accept(Optional.of(answer.admission()));
                return;
            }
            routing.markUnresponsive(host.get().id(), context.nowNanos());
            receiver.accept(admitLocally(account, "no answer of " + host.get().id()));
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

    private Optional<Admission> admitLocally(String account, String reason) {
        int hosts = links.gateways().size() + 1;
        boolean admitted = localAllowance.admit(account, hosts, context.nowNanos());
        context.timeline()
                .event(EventKind.ADMISSION_UNANSWERED)
                .with("account", account)
                .with("reason", reason)
                .with("admitted", admitted)
                .write();
        return admitted ? Optional.of(new Admission(Optional.empty())) : Optional.empty();
    }
}
