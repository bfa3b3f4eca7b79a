package org.gooseberryhill.load;

/**
 * A kind of online request in a deployment's mix. Immutable.
 *
 * @param name its name in reports
 * @param share its share of the arrivals, relative to the others
 * @param plain whether it is a call of the plain service rather than of the model
 * @param promptCharacters the length of its prompt
 * @param tokens how many tokens its answer has
 */
public record RequestKind(String name, int share, boolean plain, int promptCharacters, int tokens) {}
