package org.gooseberryhill.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.contract.PromptPart;
import org.gooseberryhill.directory.EndpointKey;
import org.junit.jupiter.api.Test;

class PromptPrefixTrackerTest {
    private static final EndpointKey ONE = new EndpointKey("one", 1);
    private static final EndpointKey OTHER = new EndpointKey("other", 1);

    private final PromptPrefixTracker prefixes = new PromptPrefixTracker();

    @Test
    void anEndpointWithoutCachedPrefixesProcessesTheWholePrompt() {
        assertThat(prefixes.prefillTokens(ONE, prompt("system", "course", "r1")))
                .isEqualTo(450);
    }

    @Test
    void aSharedPrefixIsProcessedOnce() {
        prefixes.requestSent(ONE, prompt("system", "course", "r1"));

        assertThat(prefixes.prefillTokens(ONE, prompt("system", "course", "r2")))
                .isEqualTo(250);
        assertThat(prefixes.prefillTokens(ONE, prompt("system", "other", "r2"))).isEqualTo(350);
        assertThat(prefixes.prefillTokens(OTHER, prompt("system", "course", "r2")))
                .isEqualTo(450);
    }

    /** A cached part can be reused only after the same preceding parts. */
    @Test
    void aPartAfterADifferentPrefixIsProcessedAgain() {
        prefixes.requestSent(ONE, prompt("system", "course", "r1"));

        assertThat(prefixes.prefillTokens(ONE, prompt("elsewhere", "course", "r1")))
                .isEqualTo(450);
    }

    /** An endpoint that restarts under the same id has an empty cache. */
    @Test
    void aRestartedEndpointProcessesTheWholePrompt() {
        prefixes.requestSent(ONE, prompt("system", "course", "r1"));

        assertThat(prefixes.prefillTokens(new EndpointKey("one", 2), prompt("system", "course", "r1")))
                .isEqualTo(450);
    }

    private static Prompt prompt(String firstPartId, String secondPartId, String lastPartId) {
        return new Prompt(
                "m",
                450,
                25,
                List.of(
                        new PromptPart(firstPartId, 100),
                        new PromptPart(secondPartId, 100),
                        new PromptPart(lastPartId, 250)));
    }
}
