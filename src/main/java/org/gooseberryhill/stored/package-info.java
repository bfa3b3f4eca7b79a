/** Layout of the data in the key-value store: keys, value formats, and access to stored request batches. */
package org.gooseberryhill.stored;
