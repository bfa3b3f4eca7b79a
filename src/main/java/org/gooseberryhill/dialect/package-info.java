/** How callers, endpoints, operators and the store spell what the system understands: contracts for adapters. */
package org.gooseberryhill.dialect;
