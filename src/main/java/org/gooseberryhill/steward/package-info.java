/**
 * The program that owns jobs, sends batch items to endpoints, and sends model orders, which tell endpoints which model,
 * version and adapters to hold.
 */
package org.gooseberryhill.steward;
