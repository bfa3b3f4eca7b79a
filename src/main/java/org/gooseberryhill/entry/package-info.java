/** The program that accepts callers' requests: it forwards online requests to endpoints and stores jobs. */
package org.gooseberryhill.entry;
