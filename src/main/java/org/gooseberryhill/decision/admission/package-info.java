/** Admission control: decides on arrival whether a request is accepted or refused. */
package org.gooseberryhill.decision.admission;
