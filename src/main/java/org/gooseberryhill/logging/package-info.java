/** The processes' log: one JSON object a line on standard output, through a bounded ring that never holds anybody up. */
package org.gooseberryhill.logging;
