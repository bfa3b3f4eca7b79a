/** Jobs: their record in the key-value service, who owns them, which item runs next, what completes an item. */
package org.gooseberryhill.decision.job;
