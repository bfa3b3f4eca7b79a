package org.gooseberryhill.decision.promptpart;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.contract.PromptPart;
import org.gooseberryhill.directory.ServiceVersion;

/**
 * A request that was in flight at an endpoint when it crashed. Immutable.
 *
 * @param parts the parts of its prompt but the last, which no other request shares
 * @param sentNanos when it was sent there, in nanoseconds
 */
public record CrashedRun(Set<PromptPartKey> parts, long sentNanos) {
    /** Bounds what a single request adds to the evidence and to messages. */
    private static final int MAX_PARTS = 64;

    /** Returns the run of a prompt; empty if the prompt shares no part with other requests. */
    public static Optional<CrashedRun> of(Prompt prompt, ServiceVersion version, long sentNanos) {
        Set<PromptPartKey> parts = sharedParts(prompt, version);
        return parts.isEmpty() ? Optional.empty() : Optional.of(new CrashedRun(parts, sentNanos));
    }

    /** Returns the parts of a prompt that other requests may share: all but the last. */
    static Set<PromptPartKey> sharedParts(Prompt prompt, ServiceVersion version) {
        List<PromptPart> parts = prompt.parts();
        Set<PromptPartKey> shared = new LinkedHashSet<>();
        for (int place = 0; place < parts.size() - 1; place++) {
            boolean atEitherEnd = place < MAX_PARTS / 2 || place >= parts.size() - 1 - MAX_PARTS / 2;
            if (atEitherEnd) {
                shared.add(new PromptPartKey(
                        version, prompt.model(), parts.get(place).id()));
            }
        }
        return shared;
    }
}
