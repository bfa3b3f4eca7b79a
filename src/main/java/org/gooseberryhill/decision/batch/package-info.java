/** Decides how many batch items an endpoint runs beside its online requests, and which of them yield to a burst. */
package org.gooseberryhill.decision.batch;
