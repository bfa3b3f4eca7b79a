package org.gooseberryhill.decision.membership;

import org.gooseberryhill.host.Host;

/**
 * An entry of the host list in the key-value store, which exists as long as the host's lease. Immutable.
 *
 * @param host the host
 * @param processStart distinguishes the host's process from earlier processes on it
 * @param messageSet the newest set of messages that the process understands; a message of a newer one would end the connection
 */
public record ListedHost(Host host, String processStart, int messageSet) {
    /** The messages of all versions that did not register a set. */
    public static final int FIRST_MESSAGE_SET = 1;

    /** The first set with messages on the origins of streams. */
    public static final int STREAM_ORIGINS_MESSAGE_SET = 2;

    /** The first set with messages on parts of prompts that may crash endpoints. */
    public static final int PROMPT_PARTS_MESSAGE_SET = 3;

    /** The first set with messages on the use of slots by client account. */
    public static final int ACCOUNT_USE_MESSAGE_SET = 4;

    /** The first set with messages on the room that zones have for requests of each other. */
    public static final int ZONE_ROOM_MESSAGE_SET = 5;

    /** The newest set that this version understands. */
    public static final int CURRENT_MESSAGE_SET = ZONE_ROOM_MESSAGE_SET;

    /** Creates the entry of a process of this version. */
    public ListedHost(Host host, String processStart) {
        this(host, processStart, CURRENT_MESSAGE_SET);
    }
}
