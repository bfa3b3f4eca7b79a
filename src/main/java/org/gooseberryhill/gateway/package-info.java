/** The program gooseberry-gateway: routes requests to registered endpoints and runs request batches alongside them. */
package org.gooseberryhill.gateway;
