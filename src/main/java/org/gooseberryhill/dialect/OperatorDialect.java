package org.gooseberryhill.dialect;

import io.vavr.control.Either;
import java.util.Optional;
import org.gooseberryhill.external.KeyChange;
import org.gooseberryhill.route.RouteConfiguration;

/** How operators write what they want into the key-value store. Thread-safe; translates and decides nothing. */
public interface OperatorDialect {
    /** The prefix of all that operators write. */
    String prefix();

    /** The configuration that a key holds, or what is wrong with it; empty for another key. */
    Optional<Either<String, RouteConfiguration>> configuration(KeyChange entry);

    /** The host that a key asks to be emptied; empty for another key. */
    Optional<String> evacuatedHost(KeyChange entry);

    /** The key under which the state of an evacuation is told. */
    String evacuationStatusKey(String host);

    /** The value that tells that an evacuation is on its way, or that it is done. */
    byte[] evacuationStatus(boolean done);
}
