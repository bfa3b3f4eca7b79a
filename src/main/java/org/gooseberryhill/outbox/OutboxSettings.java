package org.gooseberryhill.outbox;

import java.nio.file.Path;
import org.gooseberryhill.host.Host;

/**
 * Settings of a host that stores submissions. Immutable.
 *
 * @param self the host's identity, role, availability zone and peer address
 * @param dataFolder the folder on its disk that holds the submissions
 * @param storeValueBytes size of the largest value that the key-value store takes
 * @param retentionMillis how long the key-value store retains a finished batch
 */
public record OutboxSettings(Host self, Path dataFolder, int storeValueBytes, long retentionMillis) {}
