/** Whether a failed attempt is tried again: never for what may not be repeated, never beyond a share of traffic. */
package org.gooseberryhill.decision.retry;
