/** Identifies requests that crash endpoints, isolates suspects and refuses confirmed ones on all hosts for a time. */
package org.gooseberryhill.decision.quarantine;
