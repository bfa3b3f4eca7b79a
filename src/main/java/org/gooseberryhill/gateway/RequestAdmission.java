package org.gooseberryhill.gateway;

import java.util.Optional;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.dispatch.Admission;
import org.gooseberryhill.decision.dispatch.PlacementAnswer;
import org.gooseberryhill.decision.dispatch.RoutedRequest;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.CoordinationMessage;

/** Tracks which coordinator counts one request against the quota of its client account. Confined to the control thread. */
final class RequestAdmission {
    private final SlotExchange slots;
    private final RoutedRequest request;

    /** The coordinator that was asked last for an endpoint. */
    private Optional<HostId> askedHost = Optional.empty();

    RequestAdmission(SlotExchange slots, RoutedRequest request) {
        this.slots = slots;
        this.request = request;
    }

    /** Records which coordinator is asked for an endpoint, and so for the admission of the request. */
    void asked(HostId coordinator) {
        askedHost = Optional.of(coordinator);
    }

    /** Records what a coordinator decided, before the decision is applied to the request. */
    void answered(PlacementAnswer answer) {
        Optional<String> account =
                request.info().caller().accountName().filter(name -> !request.isCountedAgainstQuota());
        if (account.isEmpty()) {
            return;
        }
        if (answer instanceof PlacementAnswer.Placed) {
            slots.admissions().recordAnswer(account.get(), new Admission(Optional.empty()));
        } else if (answer instanceof PlacementAnswer.OverQuota overQuota) {
            Admission rejected = new Admission(Optional.of(overQuota.retryAfterMillis()));
            slots.admissions().recordAnswer(account.get(), rejected);
        }
    }

    /** Tells the coordinator of a request that was refused as not run, so that it does not count against the quota. */
    void refused(Refusal refusal) {
        if (refusal.outcome() != Outcome.NOT_RUN || !request.isCountedAgainstQuota()) {
            return;
        }
        String account = request.info().caller().accountName().orElseThrow();
        askedHost.ifPresent(host -> slots.send(host, new CoordinationMessage.AdmissionReturned(account)));
    }
}
