/** Decides which requests are sent to endpoints of another availability zone, where traffic is slower and costs money. */
package org.gooseberryhill.decision.zone;
