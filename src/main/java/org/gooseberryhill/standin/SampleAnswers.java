package org.gooseberryhill.standin;

import java.util.List;
import java.util.Map;
import org.gooseberryhill.link.Json;

/** Creates requests to engine stand-ins and the complete answers that are expected for them. Stateless. */
public final class SampleAnswers {
    private SampleAnswers() {}

    /** Returns the complete answer to a chat with one message. */
    public static String chatAnswer(String content, int tokens) {
        return Generation.answer(content + "\n", tokens);
    }

    /** Returns the request body of a streamed chat with one message. */
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

    /** Returns the complete answer to a prompt. */
    public static String promptAnswer(String prompt, int tokens) {
        return Generation.answer(prompt, tokens);
    }
}
