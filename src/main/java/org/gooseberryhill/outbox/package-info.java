/** The outbox: hosts with a disk store batch submissions until the key-value store has recorded them. */
package org.gooseberryhill.outbox;
