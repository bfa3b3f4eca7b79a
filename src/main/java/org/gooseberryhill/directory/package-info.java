/** Entries of the endpoint directory: endpoints register themselves, with their state, in the key-value store. */
package org.gooseberryhill.directory;
