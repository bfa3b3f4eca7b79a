package org.gooseberryhill.decision.replay;

import java.util.List;
import java.util.OptionalInt;

/**
 * The zones of a replayed deployment that differ. Immutable.
 *
 * @param endpoints number of endpoints of each zone
 * @param demand demand of each zone, in any unit
 * @param crossingMillis one-way latency between zones
 * @param waveZone the only zone whose demand alternates; empty if all do
 */
record ReplayZones(List<Integer> endpoints, List<Double> demand, double crossingMillis, OptionalInt waveZone) {
    /** One-way latency within a zone. */
    static final double WITHIN_ZONE_MILLIS = 0.2;

    /** Returns the zone of an endpoint by its number. */
    int zoneOfEndpoint(int number) {
        int zone = 0;
        int first = 0;
        while (number >= first + endpoints.get(zone)) {
            first += endpoints.get(zone);
            zone++;
        }
        return zone;
    }

    /** Returns the rate of a zone as a share of the mean rate of all, when the alternating demand has a given factor. */
    double relativeRate(int zone, double waveFactor) {
        double all = demand.stream().mapToDouble(Double::doubleValue).sum();
        boolean alternates = waveZone.isEmpty() || waveZone.getAsInt() == zone;
        return demand.get(zone) / all * (alternates ? waveFactor : 1);
    }

    int endpointCount() {
        return endpoints.stream().mapToInt(Integer::intValue).sum();
    }

    int count() {
        return demand.size();
    }
}
