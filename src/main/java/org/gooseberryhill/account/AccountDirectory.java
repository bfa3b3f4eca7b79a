package org.gooseberryhill.account;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The client accounts of one configuration, by key. Immutable and thread-safe.
 *
 * <p>Invariant: a key belongs to one account. Without accounts, requests are not attributed to any.
 */
public final class AccountDirectory {
    /** A directory without accounts. */
    public static final AccountDirectory NONE = new AccountDirectory(List.of());

    private final Map<KeyDigest, ClientAccount> byKey = new HashMap<>();
    private final boolean empty;

    /** Creates a directory. */
    public AccountDirectory(Collection<ClientAccount> accounts) {
        accounts.forEach(account -> account.keys().forEach(key -> byKey.put(key, account)));
        this.empty = accounts.isEmpty();
    }

    /** Returns whether there are no accounts, so that requests need no key. */
    public boolean isEmpty() {
        return empty;
    }

    /** Returns the account that holds a key. */
    public Optional<ClientAccount> find(String key) {
        return Optional.ofNullable(byKey.get(KeyDigest.of(key)));
    }
}
