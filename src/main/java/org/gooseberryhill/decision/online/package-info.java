/** The life of one online request: taken in, sent, retried or given up; composed of the single decisions. */
package org.gooseberryhill.decision.online;
