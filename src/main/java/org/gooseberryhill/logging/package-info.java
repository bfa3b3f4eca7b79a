/** Logging to standard output as JSON lines, through bounded buffers that never block the threads that log. */
package org.gooseberryhill.logging;
