/** Decides when periodic work is due, so that work with different periods shares the wake-ups of a thread. */
package org.gooseberryhill.decision.schedule;
