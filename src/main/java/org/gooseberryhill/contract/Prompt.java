package org.gooseberryhill.contract;

import java.util.List;

/**
 * What a request for tokens says of its prompt. Immutable.
 *
 * @param model the model
 * @param promptTokens the tokens to read
 * @param maxOutputTokens the most tokens to generate
 * @param parts the prompt's parts in order; the last belongs to the request or its session alone
 */
public record Prompt(String model, int promptTokens, int maxOutputTokens, List<PromptPart> parts) {
    private static final int OUTPUT_TOKEN_WEIGHT = 10;

    /** The work that the request asks for, in prompt tokens: generating one costs about ten times reading one. */
    public long work() {
        return promptTokens + (long) OUTPUT_TOKEN_WEIGHT * maxOutputTokens;
    }
}
