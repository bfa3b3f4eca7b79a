/** The common parts of all processes: control loop, peers, membership, configuration and lease. */
package org.gooseberryhill.process;
