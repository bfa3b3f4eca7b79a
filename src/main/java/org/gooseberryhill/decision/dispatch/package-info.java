/** Dispatch of routed requests: endpoint state, placement, admission and further attempts after a failure. */
package org.gooseberryhill.decision.dispatch;
