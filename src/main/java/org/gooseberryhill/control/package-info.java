/** The control loop, whose single thread owns the control state of a process. */
package org.gooseberryhill.control;
