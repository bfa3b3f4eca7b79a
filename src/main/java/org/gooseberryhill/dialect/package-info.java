/** Contracts for adapters that translate the external formats of callers, endpoints, operators and the store. */
package org.gooseberryhill.dialect;
