package org.gooseberryhill.decision.quota;

import java.util.Map;

/**
 * What a host tells the others of the requests that it was asked to admit since its last report. Immutable.
 *
 * @param settled whether the host has run for long enough to know what ran before
 * @param activities activity by account; accounts that asked for nothing are absent
 */
public record QuotaReport(boolean settled, Map<String, AccountActivity> activities) {
    /** Report of a host that was asked for nothing. */
    public static final QuotaReport EMPTY = new QuotaReport(false, Map.of());
}
