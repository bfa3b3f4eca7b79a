/** The directory of endpoints that register themselves, each with its state, in the key-value store. */
package org.gooseberryhill.directory;
