/** Routes: which requests a service takes, by host and path prefix, and what callers are promised on each. */
package org.gooseberryhill.route;
