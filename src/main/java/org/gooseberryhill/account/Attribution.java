package org.gooseberryhill.account;

import java.util.Optional;

/**
 * What an endpoint is told of the client account behind a request. Immutable.
 *
 * @param inForce whether endpoints are told at all; if not, a request passes as its caller sent it
 * @param accountName name of the account; empty if the request is anonymous
 */
public record Attribution(boolean inForce, Optional<String> accountName) {
    /** Attribution under a configuration without accounts. */
    public static final Attribution NONE = new Attribution(false, Optional.empty());

    /** Attribution of an anonymous request. */
    public static final Attribution ANONYMOUS = new Attribution(true, Optional.empty());

    /** Returns the attribution to an account. */
    public static Attribution to(String accountName) {
        return new Attribution(true, Optional.of(accountName));
    }
}
