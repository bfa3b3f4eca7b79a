/**
 * The timeline: a structured event for each decision that affects a request or changes the state known to a process.
 * Events are written as JSON lines and merged across processes in causal order.
 */
package org.gooseberryhill.timeline;
