/** Stores segments: immutable parts of jobs, checksummed and synced to disks in two availability zones. */
package org.gooseberryhill.store;
