/** The program that sends batch items and model orders to endpoints, and owns jobs. */
package org.gooseberryhill.steward;
