/** Load experiments with open-loop arrivals and complete checks of answers; plots batch throughput against latency. */
package org.gooseberryhill.load;
