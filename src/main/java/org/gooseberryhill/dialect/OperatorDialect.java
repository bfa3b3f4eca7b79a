package org.gooseberryhill.dialect;

import io.vavr.control.Either;
import java.util.Optional;
import org.gooseberryhill.external.KeyChange;
import org.gooseberryhill.route.RouteConfiguration;

/** Translates the entries that operators write into the key-value store. Thread-safe; makes no decisions. */
public interface OperatorDialect {
    /** Returns the key prefix of all entries that operators write. */
    String prefix();

    /** Returns the configuration in an entry, or what is wrong with it; empty for an entry with another key. */
    Optional<Either<String, RouteConfiguration>> parseConfiguration(KeyChange entry);

    /** Returns the host that an entry requests to be evacuated; empty for an entry with another key. */
    Optional<String> parseEvacuation(KeyChange entry);

    /** Returns the key under which the status of an evacuation is stored. */
    String evacuationStatusKey(String host);

    /** Returns the value which states that an evacuation is in progress, or that it is done. */
    byte[] evacuationStatus(boolean done);
}
