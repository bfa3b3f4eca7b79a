package org.gooseberryhill.contract;

import java.util.List;

/**
 * The prompt of a generation request, as far as routing needs it. Immutable.
 *
 * @param model the name of the model
 * @param promptTokens the number of prompt tokens
 * @param maxOutputTokens the maximum number of tokens to generate
 * @param parts the parts of the prompt in order; the last is specific to the request or its session
 */
public record Prompt(String model, int promptTokens, int maxOutputTokens, List<PromptPart> parts) {}
