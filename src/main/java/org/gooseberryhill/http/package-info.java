/** HTTP/1.1 on Netty: a server for callers and operators, and a client for endpoints and platform services. */
package org.gooseberryhill.http;
