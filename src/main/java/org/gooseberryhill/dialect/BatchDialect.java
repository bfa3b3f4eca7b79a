package org.gooseberryhill.dialect;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.gooseberryhill.decision.requestbatch.BatchItem;
import org.gooseberryhill.decision.requestbatch.BatchPage;
import org.gooseberryhill.http.HttpCall;

/** How request batches are submitted, read and ended. Thread-safe; translates and decides nothing. */
public interface BatchDialect {
    /** The call of the system's own interface that a request makes; empty for one that a route may take. */
    Optional<SystemCall> read(HttpCall call);

    /** The items of a submitted body, or all that is wrong with it. */
    Either<List<String>, List<BatchItem>> items(byte[] body);

    /** The answer to a reading of results. */
    byte[] page(BatchPage page);
}
