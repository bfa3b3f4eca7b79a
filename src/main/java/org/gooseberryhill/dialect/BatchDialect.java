package org.gooseberryhill.dialect;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.gooseberryhill.decision.requestbatch.BatchItem;
import org.gooseberryhill.decision.requestbatch.BatchPage;
import org.gooseberryhill.http.HttpCall;

/**
 * Translates the HTTP interface for submitting, reading and ending request batches. Thread-safe; makes no decisions.
 */
public interface BatchDialect {
    /** Returns the batch API call that a request makes; empty if a route may handle the request. */
    Optional<BatchApiCall> parseCall(HttpCall call);

    /** Returns the items of a submitted body, or all errors found in it. */
    Either<List<String>, List<BatchItem>> parseItems(byte[] body);

    /** Returns the body of the answer to a call that reads results. */
    byte[] formatPage(BatchPage page);
}
