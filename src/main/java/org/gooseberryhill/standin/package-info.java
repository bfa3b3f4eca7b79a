/** Small stand-ins for the platform and the endpoints, with the faults that the brief names, for tests and the demo. */
package org.gooseberryhill.standin;
