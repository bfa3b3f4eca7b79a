/** Which of the system's own hosts are alive: heartbeats with suspicion before death, a few peers a period. */
package org.gooseberryhill.decision.membership;
