/** The active configuration of a host, and the edits that replace it. */
package org.gooseberryhill.decision.configuration;
