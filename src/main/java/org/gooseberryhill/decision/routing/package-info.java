/** Which endpoint an online request goes to. */
package org.gooseberryhill.decision.routing;
