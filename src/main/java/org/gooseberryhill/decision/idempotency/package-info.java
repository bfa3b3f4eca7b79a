/** Calls that must run at most once: claimed in the key-value service before they are sent. */
package org.gooseberryhill.decision.idempotency;
