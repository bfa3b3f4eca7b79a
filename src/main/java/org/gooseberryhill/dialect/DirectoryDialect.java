package org.gooseberryhill.dialect;

import io.vavr.control.Either;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.external.KeyChange;

/** Translates the registrations of endpoints in the key-value store. Thread-safe; makes no decisions. */
public interface DirectoryDialect {
    /** Returns the key prefix of all registrations. */
    String prefix();

    /** Returns the endpoint that an entry registers, or the reason why the entry names no usable endpoint. */
    Either<String, EndpointEntry> parseRegistration(KeyChange entry);
}
