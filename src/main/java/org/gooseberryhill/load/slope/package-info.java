/**
 * Probes that measure on one machine how costs grow with the size of the fleet; docs/CAPACITY.md extrapolates the results.
 */
package org.gooseberryhill.load.slope;
