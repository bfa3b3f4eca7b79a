/** Draining: the endpoints that get no new work, and the planned stop of this process. */
package org.gooseberryhill.decision.drain;
