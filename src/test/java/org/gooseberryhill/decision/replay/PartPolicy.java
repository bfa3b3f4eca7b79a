package org.gooseberryhill.decision.replay;

/** What hosts do about parts of prompts that crash endpoints. Immutable. */
enum PartPolicy {
    /** Each request is recognised by itself only. */
    REQUESTS_ONLY,
    /** Parts are blocked after some crashes; until then their requests run as any other. */
    COUNTED,
    /** The product's way: suspected parts run one at a time, too. */
    ISOLATED
}
