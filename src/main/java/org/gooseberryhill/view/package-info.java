/** Views: what a process knows of a prefix of the key-value store, kept up by changes and shared among hosts. */
package org.gooseberryhill.view;
