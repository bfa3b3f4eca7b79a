/** Requests that crash the endpoints that run them: found, run apart, then refused on all hosts for a time. */
package org.gooseberryhill.decision.quarantine;
