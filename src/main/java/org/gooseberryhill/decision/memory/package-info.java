/** Decides what a process does about the bytes that it holds for callers and endpoints that read slowly. */
package org.gooseberryhill.decision.memory;
