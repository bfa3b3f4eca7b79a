/** Decides how many requests of a client account run, over all hosts together. */
package org.gooseberryhill.decision.quota;
