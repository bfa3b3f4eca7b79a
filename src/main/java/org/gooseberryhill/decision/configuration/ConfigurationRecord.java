package org.gooseberryhill.decision.configuration;

/**
 * What the key-value service holds under the configuration's key. Immutable.
 *
 * @param editId names the edit, so that its author can find out whether it took effect
 * @param author who applied it
 * @param appliedMillis when, in epoch milliseconds
 * @param text the operators' text
 */
public record ConfigurationRecord(String editId, String author, long appliedMillis, String text) {}
