/** Leases: until when a host may act on what it holds. */
package org.gooseberryhill.decision.lease;
