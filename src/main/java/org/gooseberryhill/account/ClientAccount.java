package org.gooseberryhill.account;

import java.util.Optional;
import java.util.Set;

/**
 * A client account of the operators' configuration. Immutable.
 *
 * @param name its name, unique in a configuration; endpoints and logs get it in place of a key
 * @param keys digests of the keys that its clients may use; without any, none of its requests is accepted
 * @param quota how much it may ask for; empty if that is not limited
 */
public record ClientAccount(String name, Set<KeyDigest> keys, Optional<AccountQuota> quota) {}
