package org.gooseberryhill.standin;

import java.util.List;
import java.util.Map;
import org.gooseberryhill.link.Json;

/** What sample callers ask the engine stand-ins, and what these answer, so that answers are checked whole. Stateless. */
public final class SampleAnswers {
    private SampleAnswers() {}

    /** The whole answer to a chat of one message with this content. */
    public static String chat(String content, int tokens) {
        return Generation.answer(content + "\n", tokens);
    }

    /** The body of a streamed chat of one message with this content. */
    public static byte[] chatBody(String content, int tokens) {
        return Json.bytes(Map.of(
                "model",
                SampleFleet.MODEL.model(),
                "stream",
                true,
                "max_tokens",
                tokens,
                "messages",
                List.of(Map.of("role", "user", "content", content))));
    }

    /** The whole answer to a prompt. */
    public static String prompt(String prompt, int tokens) {
        return Generation.answer(prompt, tokens);
    }
}
