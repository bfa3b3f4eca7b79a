package org.gooseberryhill.configuration;

import java.util.List;

/**
 * A caller's account. Immutable; holds a hash, never the key.
 *
 * @param name its name
 * @param keySha256 the SHA-256 of its bearer key, in lower-case hexadecimal
 * @param services the services that it may use
 * @param maxInFlight how many online requests it may have in flight at one entry host
 * @param maySubmitJobs whether it may submit jobs
 */
public record CallerSettings(
        String name, String keySha256, List<String> services, int maxInFlight, boolean maySubmitJobs) {}
