package org.gooseberryhill.load;

/**
 * A kind of online request in a deployment's mix. Immutable.
 *
 * @param name the name; prompts start with it
 * @param share the weight among the arrivals, relative to the other kinds
 * @param plain whether the request calls the plain service instead of the model
 * @param promptCharacters the length of the prompt in characters
 * @param tokens number of tokens in the answer
 */
public record RequestKind(String name, int share, boolean plain, int promptCharacters, int tokens) {}
