/** Load balancing: chooses the endpoint of each online request. */
package org.gooseberryhill.decision.routing;
