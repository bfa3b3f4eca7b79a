/** The program that takes callers' requests: online work straight to the endpoints, jobs into the stores. */
package org.gooseberryhill.entry;
