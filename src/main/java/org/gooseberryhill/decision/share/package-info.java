/** Decides which client accounts' requests wait or are refused first while a service has too few free slots. */
package org.gooseberryhill.decision.share;
