/**
 * Local views of key prefixes of the key-value store, updated by changes and listings from the store and other hosts.
 */
package org.gooseberryhill.view;
