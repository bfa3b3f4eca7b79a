/** The system's own hosts: identity, role, address. */
package org.gooseberryhill.host;
