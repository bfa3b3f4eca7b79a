/** Metrics that are counted cheaply and take the exposition library's form only when somebody reads them. */
package org.gooseberryhill.metrics;
