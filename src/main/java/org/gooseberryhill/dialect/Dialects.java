package org.gooseberryhill.dialect;

/**
 * The translations that an adapter provides. Immutable.
 *
 * @param traffic for requests and answers
 * @param batches for request batches
 * @param directory for endpoint registrations
 * @param operators for configurations and evacuations
 */
public record Dialects(
        TrafficDialect traffic, BatchDialect batches, DirectoryDialect directory, OperatorDialect operators) {}
