package org.gooseberryhill.decision.dispatch;

import org.gooseberryhill.link.Address;

/** Tells to which addresses a host keeps an idle connection that the next request may use. */
@FunctionalInterface
public interface ConnectionView {
    /** A view without idle connections. */
    ConnectionView NONE = address -> false;

    /** Returns whether an idle connection to an address is kept. */
    boolean hasIdleConnection(Address address);
}
