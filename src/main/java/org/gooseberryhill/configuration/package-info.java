/** The operators' one text: what it may say, and every finding with its place when it says something else. */
package org.gooseberryhill.configuration;
