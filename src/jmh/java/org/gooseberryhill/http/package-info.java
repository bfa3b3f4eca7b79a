/** Benchmarks of what is done for each byte of an answer. */
package org.gooseberryhill.http;
