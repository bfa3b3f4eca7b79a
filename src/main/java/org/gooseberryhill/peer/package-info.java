/** The protocol between the processes of the system: length-prefixed frames of MessagePack over TCP. */
package org.gooseberryhill.peer;
