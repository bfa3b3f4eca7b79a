/** Where routed requests run: what is known of each registered endpoint, placement, admission, another attempt. */
package org.gooseberryhill.decision.dispatch;
