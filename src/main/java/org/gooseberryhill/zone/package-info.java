/** Availability zones: the units of failure that copies are spread over. */
package org.gooseberryhill.zone;
