/**
 * The time line: one record for each decision that touches a request or changes what a process believes, written as one
 * JSON line and merged over all processes in causal order.
 */
package org.gooseberryhill.timeline;
