/** Load experiments with open-loop arrivals, which check every complete answer and plot batch throughput against latency. */
package org.gooseberryhill.load;
