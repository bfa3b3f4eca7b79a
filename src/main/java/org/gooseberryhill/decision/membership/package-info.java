/**
 * Failure detection among the system's own hosts: one peer is probed each period, and a host that does not answer is
 * suspected before it counts as dead.
 */
package org.gooseberryhill.decision.membership;
