/**
 * Identifies requests that crash endpoints. A request that was in flight at one crash is a suspect and runs at an
 * endpoint without other suspects; a request that was in flight at two crashes is refused on all hosts for a time.
 */
package org.gooseberryhill.decision.quarantine;
