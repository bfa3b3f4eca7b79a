/** Identifies requests that crash endpoints, runs them apart and then refuses them on all hosts for a time. */
package org.gooseberryhill.decision.quarantine;
