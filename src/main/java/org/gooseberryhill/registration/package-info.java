/** Registers a host in the list of live hosts. */
package org.gooseberryhill.registration;
