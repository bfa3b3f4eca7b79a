/** Assignment of keys to hosts, computed on each host from its view of the hosts, without messages. */
package org.gooseberryhill.decision.ownership;
