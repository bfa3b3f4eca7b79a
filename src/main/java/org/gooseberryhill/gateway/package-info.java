/** The program gooseberry-gateway: routes requests to registered endpoints and runs request batches beside them. */
package org.gooseberryhill.gateway;
