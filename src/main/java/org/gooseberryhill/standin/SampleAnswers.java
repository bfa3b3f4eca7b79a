package org.gooseberryhill.standin;

/** What the engine stand-ins answer, so that callers can check their answers whole. Stateless. */
public final class SampleAnswers {
    private SampleAnswers() {}

    /** The whole answer to a chat of one message with this content. */
    public static String chat(String content, int tokens) {
        return Generation.answer(content + "\n", tokens);
    }

    /** The whole answer to a prompt. */
    public static String prompt(String prompt, int tokens) {
        return Generation.answer(prompt, tokens);
    }
}
