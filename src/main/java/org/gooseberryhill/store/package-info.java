/** Segments: immutable pieces of jobs, checksummed and synced on the disks of two availability zones. */
package org.gooseberryhill.store;
