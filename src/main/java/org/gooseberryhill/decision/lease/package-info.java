/** Leases: how long a host may act under the lease that the key-value service granted to it. */
package org.gooseberryhill.decision.lease;
