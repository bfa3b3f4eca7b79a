/** The control thread: the one thread that owns a process's control state. */
package org.gooseberryhill.control;
