/** Parsing and validation of the configuration text; each error is reported with its position in the text. */
package org.gooseberryhill.configuration;
