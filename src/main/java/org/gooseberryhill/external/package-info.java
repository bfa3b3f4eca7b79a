/** The platform's services through their published protocols, each behind a narrow interface. */
package org.gooseberryhill.external;
