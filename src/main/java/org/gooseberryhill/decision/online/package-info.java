/** Combines the admission, routing, retry and quarantine decisions for each online request. */
package org.gooseberryhill.decision.online;
