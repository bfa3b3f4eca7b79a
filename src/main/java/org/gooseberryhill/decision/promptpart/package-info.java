/**
 * Identifies parts of prompts that crash endpoints. A part is suspected once it was in flight at a crash and nobody has served it
 * since; its requests then run one at a time, apart from other suspects. A part that goes on crashing endpoints is blocked on all
 * hosts until a trial or another software version shows that it is served.
 */
package org.gooseberryhill.decision.promptpart;
