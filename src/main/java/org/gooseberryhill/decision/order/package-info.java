/**
 * Model orders, which tell endpoints which model, version and adapters to hold. One host at a time gives them to an
 * endpoint, protected by a fencing token.
 */
package org.gooseberryhill.decision.order;
