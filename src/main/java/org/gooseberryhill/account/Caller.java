package org.gooseberryhill.account;

import java.util.Optional;

/**
 * Who sends a request, as far as the configuration in force asks for it. Immutable.
 *
 * @param attributed whether the configuration has client accounts; if not, requests pass as they are
 * @param account the account whose key the request bears; empty for an anonymous request
 */
public record Caller(boolean attributed, Optional<ClientAccount> account) {
    /** Caller under a configuration without accounts. */
    public static final Caller UNATTRIBUTED = new Caller(false, Optional.empty());

    /** Caller on a route that is open to everybody. */
    public static final Caller ANONYMOUS = new Caller(true, Optional.empty());

    /** Returns the caller whose key belongs to an account. */
    public static Caller of(ClientAccount account) {
        return new Caller(true, Optional.of(account));
    }

    /** Returns the name of the account, if there is one. */
    public Optional<String> accountName() {
        return account.map(ClientAccount::name);
    }

    /** Returns what endpoints are told of this caller. */
    public Attribution attribution() {
        return new Attribution(attributed, accountName());
    }
}
