/** Decisions on where a stream goes on that its caller takes up again: which software version began it, and who knows. */
package org.gooseberryhill.decision.continuation;
