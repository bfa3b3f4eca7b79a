/** What callers, endpoints and the system promise each other: outcomes, errors, identities. */
package org.gooseberryhill.contract;
