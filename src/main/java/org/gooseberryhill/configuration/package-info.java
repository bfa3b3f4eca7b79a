/** Parsing and validation of the configuration text; each error is reported with its position. */
package org.gooseberryhill.configuration;
