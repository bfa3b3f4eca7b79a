package org.gooseberryhill.dialect;

/**
 * All that an adapter translates. Immutable.
 *
 * @param traffic requests and answers
 * @param batches request batches
 * @param directory endpoints
 * @param operators configuration and evacuations
 */
public record Dialects(
        TrafficDialect traffic, BatchDialect batches, DirectoryDialect directory, OperatorDialect operators) {}
