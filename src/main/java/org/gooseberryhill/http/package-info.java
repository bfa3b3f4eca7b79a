/** HTTP by Netty's codec: the server towards callers and operators, the client towards endpoints and the platform. */
package org.gooseberryhill.http;
