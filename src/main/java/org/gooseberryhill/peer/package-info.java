/** The protocol between the system's own processes: TCP frames with a length, MessagePack inside. */
package org.gooseberryhill.peer;
