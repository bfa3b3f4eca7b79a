/** The time line: what happened on all processes, merged in causal order. */
package org.gooseberryhill.timeline;
