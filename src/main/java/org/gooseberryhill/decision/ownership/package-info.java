/** Which host looks after what, worked out alike on every host from the same view, with no messages. */
package org.gooseberryhill.decision.ownership;
