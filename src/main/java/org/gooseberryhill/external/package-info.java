/** Clients of the platform's services over their published protocols, each behind a narrow interface. */
package org.gooseberryhill.external;
