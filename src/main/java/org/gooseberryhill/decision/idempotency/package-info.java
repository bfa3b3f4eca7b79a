/** At-most-once execution: a call with an idempotency key is claimed in the key-value store before it is sent. */
package org.gooseberryhill.decision.idempotency;
