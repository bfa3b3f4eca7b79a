package org.gooseberryhill.dialect;

import io.vavr.control.Either;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.external.KeyChange;

/** How endpoints register in the key-value store. Thread-safe; translates and decides nothing. */
public interface DirectoryDialect {
    /** The prefix of all registrations. */
    String prefix();

    /** The endpoint that a key with a value registers, or why it names none to use. */
    Either<String, EndpointEntry> endpoint(KeyChange entry);
}
