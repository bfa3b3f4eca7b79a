/** The program that owns jobs and sends batch items and model orders to endpoints. */
package org.gooseberryhill.steward;
