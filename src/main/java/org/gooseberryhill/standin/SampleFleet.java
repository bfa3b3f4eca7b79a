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
 * The addresses and the configuration of a small fleet on loopback, modeled on the Easel &amp; Ochre deployment: three
 * availability zones, some engines (usually twelve) and a booking app. Immutable.
 *
 * @param basePort the first of 100 ports
 * @param engineCount number of engines
 */
public record SampleFleet(int basePort, int engineCount) {
    /** The model that the engines have loaded. */
    public static final ModelHolding MODEL = new ModelHolding("tutor-7b", "3", List.of("critique"));

    /**
     * Bearer key of the caller named tutors, which calls the model service; the keys are samples, not for real
     * deployments.
     */
    public static final String TUTORS_KEY = "sample-tutors-key";

    /** Bearer key of the caller named students, which calls the booking app. */
    public static final String STUDENTS_KEY = "sample-students-key";

    /** Bearer key of the caller named coordinators, which submits jobs. */
    public static final String COORDINATORS_KEY = "sample-coordinators-key";

    private static final String LOOPBACK = "127.0.0.1";
    private static final int ZONES = 3;
    private static final int PLAIN_ENDPOINTS = 3;
    private static final int ENGINE_OFFSET = 10;
    private static final int PLAIN_OFFSET = 40;
    private static final int ENTRY_HTTP_OFFSET = 50;
    private static final int ENTRY_OFFSET = 60;
    private static final int STEWARD_OFFSET = 70;
    private static final int STORE_OFFSET = 80;

    /** Returns the address of the key-value store. */
    public Address keyValue() {
        return atOffset(0);
    }

    /** Returns the address of the host list. */
    public Address hostList() {
        return atOffset(1);
    }

    /** Returns the address of the weight store. */
    public Address weightStore() {
        return atOffset(2);
    }

    /** Returns the address of an engine. Numbers start at 0 in all methods. */
    public Address engine(int number) {
        return atOffset(ENGINE_OFFSET + number);
    }

    /** Returns the address of a process of the booking app. */
    public Address plainService(int number) {
        return atOffset(PLAIN_OFFSET + number);
    }

    /** Returns the address at which an entry host serves callers. */
    public Address entryHttp(int number) {
        return atOffset(ENTRY_HTTP_OFFSET + number);
    }

    /** Returns the availability zone of the engine, booking process or host with the given number. */
    public static AvailabilityZone zone(int number) {
        return new AvailabilityZone("tas-" + (char) ('a' + number % ZONES));
    }

    /** Returns an entry host. */
    public Host entry(int number) {
        return host(Role.ENTRY, "entry-" + number, number, ENTRY_OFFSET);
    }

    /** Returns a steward host. */
    public Host steward(int number) {
        return host(Role.STEWARD, "steward-" + number, number, STEWARD_OFFSET);
    }

    /** Returns a store host. */
    public Host store(int number) {
        return host(Role.STORE, "store-" + number, number, STORE_OFFSET);
    }

    /** Returns the hosts of a fleet with the given numbers of entries, stewards and stores. */
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

    /** Returns the configuration text. */
    public String configuration() {
        StringBuilder text = new StringBuilder();
        text.append("# A class's tutors ask a model, its coordinators send lots, its students book.\n");
        text.append("models:\n  tutor-7b:\n    version: \"3\"\n    adapters: [critique]\n");
        text.append("services:\n");
        text.append("  tutor:\n    kind: model\n    model: tutor-7b\n");
        text.append("    first-token-target-millis: 1000\n    between-tokens-target-millis: 71\n");
        text.append("  bookings:\n    kind: plain\n    non-idempotent: [\"POST /bookings\"]\n");
        text.append("endpoints:\n");
        for (int i = 0; i < engineCount; i++) {
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

    /** Returns the name of the endpoint of an engine. */
    public static String engineName(int number) {
        return "tutor-%02d".formatted(number);
    }

    private static String caller(String name, String key, String service, boolean jobs) {
        String hash = Fingerprint.sha256Hex(key.getBytes(StandardCharsets.UTF_8));
        return "  %s:\n    key-sha256: %s\n    services: [%s]\n    max-in-flight: 1000\n    may-submit-jobs: %s\n"
                .formatted(name, hash, service, jobs);
    }

    private Host host(Role role, String id, int number, int firstOffset) {
        return new Host(new HostId(id), role, zone(number), atOffset(firstOffset + number), false);
    }

    private Address atOffset(int offset) {
        return new Address(LOOPBACK, basePort + offset);
    }
}
