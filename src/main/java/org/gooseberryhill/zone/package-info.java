/** Availability zones: the failure domains across which replicas are distributed. */
package org.gooseberryhill.zone;
