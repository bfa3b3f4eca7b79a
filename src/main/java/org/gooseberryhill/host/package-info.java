/** The processes of the system: identity, role and address. */
package org.gooseberryhill.host;
