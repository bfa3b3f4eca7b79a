/** Load and experiments: open-loop arrivals, answers checked whole, the two measures as a curve. */
package org.gooseberryhill.load;
