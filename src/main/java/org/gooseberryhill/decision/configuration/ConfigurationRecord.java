package org.gooseberryhill.decision.configuration;

/**
 * The value that the key-value store holds under the configuration's key. Immutable.
 *
 * @param editId the id of the edit, by which its author can find out whether it took effect
 * @param author who applied the edit
 * @param appliedMillis when the edit was applied, in epoch milliseconds
 * @param text the configuration text
 */
public record ConfigurationRecord(String editId, String author, long appliedMillis, String text) {}
