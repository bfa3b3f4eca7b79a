package org.gooseberryhill.decision.replay;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.contract.PromptPart;

/** A caller's request with the parts of its prompt, and what became of it. */
final class PartReplayCall {
    private final String id;
    private final String body;
    private final List<String> parts;
    private final double runMillis;
    private final Optional<PartScenario.Crashing> crashing;
    private final double atSeconds;
    private boolean begunAtFirstAttempt;
    private boolean quarantined;
    private boolean answered;

    PartReplayCall(
            String id,
            String body,
            List<String> parts,
            double runMillis,
            Optional<PartScenario.Crashing> crashing,
            double atSeconds) {
        this.id = id;
        this.body = body;
        this.parts = parts;
        this.runMillis = runMillis;
        this.crashing = crashing;
        this.atSeconds = atSeconds;
    }

    String id() {
        return id;
    }

    String body() {
        return body;
    }

    double runMillis() {
        return runMillis;
    }

    Optional<PartScenario.Crashing> crashing() {
        return crashing;
    }

    double atSeconds() {
        return atSeconds;
    }

    Prompt prompt() {
        return new Prompt(
                PartScenario.MODEL,
                100,
                20,
                parts.stream().map(part -> new PromptPart(part, 50)).toList());
    }

    /** Returns the parts but the last, which belongs to this request. */
    Set<String> sharedParts() {
        return Set.copyOf(parts.subList(0, parts.size() - 1));
    }

    void onBegunAtFirstAttempt() {
        begunAtFirstAttempt = true;
    }

    void onAnswered() {
        answered = true;
    }

    void onRefused(boolean byQuarantine) {
        quarantined |= byQuarantine;
    }

    boolean isBegunAtFirstAttempt() {
        return begunAtFirstAttempt;
    }

    boolean isAnswered() {
        return answered;
    }

    /** Returns whether the request was refused because of a part of its prompt. */
    boolean isQuarantined() {
        return quarantined;
    }
}
