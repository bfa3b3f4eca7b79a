/** Basics of communication between processes: addresses, JSON, and a clock that orders events across processes. */
package org.gooseberryhill.link;
