/** What every process of the system has: control loop, peers, membership, configuration, lease. */
package org.gooseberryhill.process;
