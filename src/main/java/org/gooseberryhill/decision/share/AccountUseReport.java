package org.gooseberryhill.decision.share;

import java.util.Map;

/**
 * What a coordinator tells those of other groups of the use of its slots by account. Immutable. Each report replaces the one before,
 * so that a lost one matters only until the next.
 *
 * @param byService the use of the services whose slots are shared at present
 */
public record AccountUseReport(Map<String, ServiceUse> byService) {}
