/** Leases: how long a host may act under the lease that the key-value store granted to it. */
package org.gooseberryhill.decision.lease;
