/** Retry policies: never repeat a request that must not run twice, and limit retries to a share of the traffic. */
package org.gooseberryhill.decision.retry;
