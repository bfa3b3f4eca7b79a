/** Simulates the platform and the endpoints, with the faults that the system has to handle, for tests and the demo. */
package org.gooseberryhill.standin;
