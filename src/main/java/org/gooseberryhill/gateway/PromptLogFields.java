package org.gooseberryhill.gateway;

import java.util.stream.Collectors;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.contract.PromptPart;
import org.gooseberryhill.timeline.EventBuilder;

/** Adds to a log line what requests that crash endpoints may have in common. Stateless. */
final class PromptLogFields {
    private PromptLogFields() {}

    static void addTo(EventBuilder event, Prompt prompt) {
        String parts = prompt.parts().stream().map(PromptPart::id).collect(Collectors.joining(","));
        event.with("model", prompt.model()).with("promptParts", parts);
    }
}
