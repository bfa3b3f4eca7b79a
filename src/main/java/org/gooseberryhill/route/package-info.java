/** Routes: which service handles a request, by host and path prefix, and the service levels promised to callers. */
package org.gooseberryhill.route;
