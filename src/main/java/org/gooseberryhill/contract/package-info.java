/** Types shared by callers, endpoints and the system: outcomes, errors and identities. */
package org.gooseberryhill.contract;
