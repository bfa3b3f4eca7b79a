package org.gooseberryhill.configuration;

/**
 * A place in the text. Immutable.
 *
 * @param line counted from 1
 * @param column counted from 1
 */
public record Place(int line, int column) {}
