/** Request batches: what was accepted, which item runs next and where, what completes an item, where it is listed. */
package org.gooseberryhill.decision.requestbatch;
