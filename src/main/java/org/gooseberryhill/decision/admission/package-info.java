/** Whether a request is taken in at all, decided at once. */
package org.gooseberryhill.decision.admission;
