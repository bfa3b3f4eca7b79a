/** Measures on one machine how costs grow with sizes; docs/CAPACITY.md extrapolates the results. */
package org.gooseberryhill.load.slope;
