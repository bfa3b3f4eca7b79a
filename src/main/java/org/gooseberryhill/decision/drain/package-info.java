/** Leaving: endpoints that get no new work, and this process's own planned stop. */
package org.gooseberryhill.decision.drain;
