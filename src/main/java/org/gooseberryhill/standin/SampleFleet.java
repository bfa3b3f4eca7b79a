package org.gooseberryhill.standin;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.decision.order.ModelHolding;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * The addresses and the configuration of a small fleet on loopback, after Easel &amp; Ochre's today: three zones, a
 * dozen runners, a booking app. Immutable.
 *
 * @param basePort the first of 100 ports
 * @param engines how many runners
 */
public record SampleFleet(int basePort, int engines) {
    /** The model that the engines hold. */
    public static final ModelHolding MODEL = new ModelHolding("tutor-7b", "3", List.of("critique"));

    /** Bearer keys of the sample callers; samples only, never for a real deployment. */
    public static final String TUTORS_KEY = "sample-tutors-key";

    /** The key of the caller that books. */
    public static final String STUDENTS_KEY = "sample-students-key";

    /** The key of the caller that submits jobs. */
    public static final String COORDINATORS_KEY = "sample-coordinators-key";

    private static final String LOOPBACK = "127.0.0.1";
    private static final int ZONES = 3;
    private static final int PLAIN_ENDPOINTS = 3;
    private static final int FIRST_ENGINE = 10;
    private static final int FIRST_PLAIN = 40;
    private static final int FIRST_ENTRY_HTTP = 50;
    private static final int FIRST_ENTRY = 60;
    private static final int FIRST_STEWARD = 70;
    private static final int FIRST_STORE = 80;

    /** The key-value service. */
    public Address keyValue() {
        return at(0);
    }

    /** The host list. */
    public Address hostList() {
        return at(1);
    }

    /** The weight store. */
    public Address weightStore() {
        return at(2);
    }

    /** A runner, from 0. */
    public Address engine(int number) {
        return at(FIRST_ENGINE + number);
    }

    /** A process of the booking app, from 0. */
    public Address plainService(int number) {
        return at(FIRST_PLAIN + number);
    }

    /** Where an entry serves callers, from 0. */
    public Address entryHttp(int number) {
        return at(FIRST_ENTRY_HTTP + number);
    }

    /** The zone of the n-th of anything. */
    public static AvailabilityZone zone(int number) {
        return new AvailabilityZone("tas-" + (char) ('a' + number % ZONES));
    }

    /** An entry, from 0. */
    public Host entry(int number) {
        return host(Role.ENTRY, "entry-" + number, number, FIRST_ENTRY);
    }

    /** A steward, from 0. */
    public Host steward(int number) {
        return host(Role.STEWARD, "steward-" + number, number, FIRST_STEWARD);
    }

    /** A store, from 0. */
    public Host store(int number) {
        return host(Role.STORE, "store-" + number, number, FIRST_STORE);
    }

    /** The host list of a number of entries, stewards and stores. */
    public List<Host> hosts(int entries, int stewards, int stores) {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            hosts.add(entry(i));
        }
        for (int i = 0; i < stewards; i++) {
            hosts.add(steward(i));
        }
        for (int i = 0; i < stores; i++) {
            hosts.add(store(i));
        }
        return hosts;
    }

    /** The operators' text. */
    public String configuration() {
        StringBuilder text = new StringBuilder();
        text.append("# A class's tutors ask a model, its coordinators send lots, its students book.\n");
        text.append("models:\n  tutor-7b:\n    version: \"3\"\n    adapters: [critique]\n");
        text.append("services:\n");
        text.append("  tutor:\n    kind: model\n    model: tutor-7b\n");
        text.append("    first-token-target-millis: 1000\n    between-tokens-target-millis: 71\n");
        text.append("  bookings:\n    kind: plain\n    non-idempotent: [\"POST /bookings\"]\n");
        text.append("endpoints:\n");
        for (int i = 0; i < engines; i++) {
            text.append("  %s: {service: tutor, address: \"%s\", zone: %s, slots: 8, checks-fences: true}\n"
                    .formatted(engineName(i), engine(i), zone(i)));
        }
        for (int i = 0; i < PLAIN_ENDPOINTS; i++) {
            text.append("  bookings-%d: {service: bookings, address: \"%s\", zone: %s, slots: 32}\n"
                    .formatted(i, plainService(i), zone(i)));
        }
        text.append("callers:\n");
        text.append(caller("tutors", TUTORS_KEY, "tutor", false));
        text.append(caller("students", STUDENTS_KEY, "bookings", false));
        text.append(caller("coordinators", COORDINATORS_KEY, "tutor", true));
        return text.toString();
    }

    /** The name of a runner, from 0. */
    public static String engineName(int number) {
        return "tutor-%02d".formatted(number);
    }

    private static String caller(String name, String key, String service, boolean jobs) {
        String hash = Fingerprint.sha256Hex(key.getBytes(StandardCharsets.UTF_8));
        return "  %s:\n    key-sha256: %s\n    services: [%s]\n    max-in-flight: 1000\n    may-submit-jobs: %s\n"
                .formatted(name, hash, service, jobs);
    }

    private Host host(Role role, String id, int number, int firstPort) {
        return new Host(new HostId(id), role, zone(number), at(firstPort + number), false);
    }

    private Address at(int offset) {
        return new Address(LOOPBACK, basePort + offset);
    }
}
