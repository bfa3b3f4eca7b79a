/** Which configuration is in force, and how an edit becomes one. */
package org.gooseberryhill.decision.configuration;
