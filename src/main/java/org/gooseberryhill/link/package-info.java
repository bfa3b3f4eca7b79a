/** Links between processes: addresses and the clock that orders events over all processes. */
package org.gooseberryhill.link;
