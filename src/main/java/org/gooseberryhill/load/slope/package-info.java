/** Slopes: how a cost grows with a size, measured on one machine, from which docs/CAPACITY.md works out the rest. */
package org.gooseberryhill.load.slope;
