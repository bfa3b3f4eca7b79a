/** Metrics with inexpensive updates, which are converted to the Prometheus library's types only when they are read. */
package org.gooseberryhill.metrics;
