package org.gooseberryhill.configuration;

/**
 * A position in the configuration text. Immutable.
 *
 * @param line the line number, from 1
 * @param column the column number, from 1
 */
public record TextPosition(int line, int column) {}
