package org.gooseberryhill.decision.dispatch;

/**
 * A snapshot of what a host knows about the endpoints of a service, for the log. Immutable.
 *
 * @param endpoints number of registered endpoints
 * @param usable number of endpoints that may get new requests
 * @param slots total slots of the usable endpoints
 * @param online online requests in flight at the usable endpoints, of all hosts
 * @param batch items of request batches in flight at the usable endpoints, of all hosts
 * @param reportAgeMillis age of the oldest report that the counts include; 0 without reports of other hosts
 */
public record ServiceState(int endpoints, int usable, int slots, int online, int batch, long reportAgeMillis) {}
