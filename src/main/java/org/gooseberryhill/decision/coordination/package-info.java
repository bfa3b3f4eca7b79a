/**
 * Assigns the slots of endpoints: each group of endpoints has one host that counts all requests there, chooses endpoints for
 * online requests, grants slots to items of request batches, and tells which items yield.
 */
package org.gooseberryhill.decision.coordination;
