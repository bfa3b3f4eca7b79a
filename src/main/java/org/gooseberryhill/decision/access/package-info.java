/** Decides whose request a request is, and whether a caller may see a request batch. */
package org.gooseberryhill.decision.access;
