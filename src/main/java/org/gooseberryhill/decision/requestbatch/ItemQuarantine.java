package org.gooseberryhill.decision.requestbatch;

import java.util.Optional;
import java.util.function.Function;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.decision.promptpart.OwedRequestTrials;
import org.gooseberryhill.decision.promptpart.PartVerdict;
import org.gooseberryhill.decision.promptpart.PromptPartQuarantine;
import org.gooseberryhill.decision.promptpart.TrialSchedule;
import org.gooseberryhill.directory.ServiceVersion;

/**
 * Tells how items must be treated because of the parts of their prompts. Not thread-safe.
 *
 * <p>Guards against items that stay open although endpoints are free, because their parts were in flight at crashes that they
 * have not caused.
 */
public final class ItemQuarantine {
    private static final TrialSchedule TRIALS = new OwedRequestTrials();

    private final PromptPartQuarantine quarantine;
    private final Function<BatchItem, Optional<Prompt>> promptReader;

    /**
     * Creates an instance.
     *
     * @param promptReader reads the prompt of an item
     */
    public ItemQuarantine(PromptPartQuarantine quarantine, Function<BatchItem, Optional<Prompt>> promptReader) {
        this.quarantine = quarantine;
        this.promptReader = promptReader;
    }

    /** Returns the quarantine of items without prompts. */
    public static ItemQuarantine none() {
        return new ItemQuarantine(new PromptPartQuarantine(), item -> Optional.empty());
    }

    PartVerdict verdict(ItemProgress item, ServiceVersion version, long nowNanos) {
        if (quarantine.isIdle()) {
            return PartVerdict.CLEAR;
        }
        return item.prompt(promptReader)
                .map(prompt -> quarantine.verdict(prompt, version, TRIALS, nowNanos))
                .orElse(PartVerdict.CLEAR);
    }
}
