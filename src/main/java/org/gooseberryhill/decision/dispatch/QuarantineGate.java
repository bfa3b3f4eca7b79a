package org.gooseberryhill.decision.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.promptpart.PartVerdict;
import org.gooseberryhill.decision.promptpart.PartVerdict.Kind;
import org.gooseberryhill.decision.promptpart.PromptPartQuarantine;
import org.gooseberryhill.decision.quarantine.CrashSuspects;
import org.gooseberryhill.decision.quarantine.CrashSuspects.Verdict;
import org.gooseberryhill.directory.ServiceVersion;

/**
 * Applies to a routed request what is known of requests, and of parts of prompts, that crash endpoints. Not thread-safe.
 *
 * <p>Invariant: a request goes to endpoints of those versions only at which its prompt is least suspected.
 */
final class QuarantineGate {
    private final CrashSuspects suspects;
    private final PromptPartQuarantine parts;
    private final Fleet fleet;

    QuarantineGate(CrashSuspects suspects, PromptPartQuarantine parts, Fleet fleet) {
        this.suspects = suspects;
        this.parts = parts;
        this.fleet = fleet;
    }

    /** Returns the refusal of a request that crashed endpoints, or of a prompt that is blocked at all versions. */
    Optional<Refusal> refuse(RoutedRequest request, long nowNanos) {
        return refuseRequest(request, nowNanos).or(() -> {
            PartVerdict verdict = restrict(request, nowNanos);
            return verdict.kind() == Kind.BLOCKED
                    ? Optional.of(DispatchRefusals.blockedPart(request, verdict.retryAfterMillis()))
                    : Optional.empty();
        });
    }

    /** Restricts a request to the versions at which its prompt is least suspected, and returns the verdict there. */
    PartVerdict restrict(RoutedRequest request, long nowNanos) {
        Optional<Prompt> prompt = request.info().prompt();
        if (prompt.isEmpty() || parts.isIdle()) {
            request.avoid(Set.of());
            return PartVerdict.CLEAR;
        }
        Map<ServiceVersion, PartVerdict> verdicts = new HashMap<>();
        for (FleetEndpoint endpoint : fleet.endpointsOf(request.info().service())) {
            ServiceVersion version = endpoint.entry().serviceVersion();
            boolean eligible = !endpoint.entry().leaving()
                    && request.beganAt().map(version::equals).orElse(true);
            if (eligible) {
                verdicts.computeIfAbsent(version, found -> parts.verdict(prompt.get(), found, nowNanos));
            }
        }
        PartVerdict best = verdicts.values().stream()
                .min(Comparator.comparing(PartVerdict::kind).thenComparing(PartVerdict::retryAfterMillis))
                .orElse(PartVerdict.CLEAR);
        Set<ServiceVersion> avoided = new HashSet<>(verdicts.keySet());
        avoided.removeIf(version -> verdicts.get(version).kind() == best.kind());
        request.avoid(avoided);
        return best;
    }

    /** Returns whether a request that is about to be sent has lost the right to it meanwhile. */
    boolean hasChanged(RoutedRequest request, long nowNanos) {
        if (parts.isIdle()) {
            return false;
        }
        Kind kind = restrict(request, nowNanos).kind();
        return kind == Kind.BLOCKED || needsPermit(request, kind);
    }

    /** Returns whether a request may run by a permit only, and has none. */
    static boolean needsPermit(RoutedRequest request, Kind kind) {
        boolean suspected = kind == Kind.CONFINED || (kind == Kind.SUSPECT && !request.runsUnpermitted());
        return suspected && request.permit().isEmpty();
    }

    /** Clears a request that was answered. */
    void answered(RoutedRequest request) {
        if (suspects.size() > 0) {
            suspects.clear(request.info().fingerprint());
        }
    }

    private Optional<Refusal> refuseRequest(RoutedRequest request, long nowNanos) {
        if (suspects.size() == 0 || suspects.verdict(request.info().fingerprint(), nowNanos) != Verdict.QUARANTINED) {
            return Optional.empty();
        }
        long millis = suspects.remainingMillis(request.info().fingerprint(), nowNanos);
        return Optional.of(new Refusal(
                ErrorCode.QUARANTINED,
                request.outcome(),
                "the same request crashed endpoints; it is held apart",
                Optional.of(millis)));
    }
}
