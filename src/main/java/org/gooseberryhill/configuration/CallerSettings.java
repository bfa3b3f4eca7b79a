package org.gooseberryhill.configuration;

import java.util.List;

/**
 * The client account of a caller. Immutable; holds the hash of the bearer key, never the key itself.
 *
 * @param name the account's name
 * @param keySha256 the SHA-256 of the bearer key, in lower-case hexadecimal
 * @param services the services that the caller may use
 * @param maxInFlight the maximum number of online requests in flight at one entry host
 * @param maySubmitJobs whether the caller may submit jobs
 */
public record CallerSettings(
        String name, String keySha256, List<String> services, int maxInFlight, boolean maySubmitJobs) {}
