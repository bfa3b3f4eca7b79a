/** Orders to endpoints: which model, version and adapters they hold, given by one host at a time under a fence. */
package org.gooseberryhill.decision.order;
