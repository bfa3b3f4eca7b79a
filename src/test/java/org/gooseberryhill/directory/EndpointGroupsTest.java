package org.gooseberryhill.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;
import org.junit.jupiter.api.Test;

class EndpointGroupsTest {
    @Test
    void groupsHaveSimilarSizesBelowTheMaximum() {
        for (int count : new int[] {1, 16, 17, 37, 63, 200}) {
            EndpointGroups groups = EndpointGroups.of(entries(count, 5));
            List<Integer> sizes = groups.of("s").stream()
                    .map(group -> groups.members(group).size())
                    .sorted()
                    .toList();

            assertThat(sizes.stream().mapToInt(Integer::intValue).sum()).isEqualTo(count);
            boolean followsZones = groups.zoneOf(groups.of("s").get(0)).isPresent();
            assertThat(followsZones).isEqualTo(count >= 5 * EndpointGroups.MIN_ZONE_ENDPOINTS);
            assertThat(sizes.get(sizes.size() - 1))
                    .isLessThanOrEqualTo(
                            followsZones
                                    ? EndpointGroups.MAX_ZONE_GROUP_ENDPOINTS
                                    : EndpointGroups.MAX_GROUP_ENDPOINTS);
            assertThat(sizes.get(sizes.size() - 1) - sizes.get(0)).isLessThanOrEqualTo(1);
        }
    }

    @Test
    void aGroupSpansFewZones() {
        EndpointGroups groups = EndpointGroups.of(entries(80, 5));

        assertThat(groups.of("s"))
                .allMatch(group -> groups.members(group).stream()
                                .map(EndpointEntry::zone)
                                .distinct()
                                .count()
                        <= 2);
    }

    /** Guards against a coordinator's counts that start anew for most endpoints whenever one comes or goes. */
    @Test
    void theLossOfAnEndpointMovesFewOthersToAnotherGroup() {
        List<EndpointEntry> entries = entries(37, 5);
        EndpointGroups before = EndpointGroups.of(entries);
        for (int lost = 0; lost < entries.size(); lost++) {
            List<EndpointEntry> left = new ArrayList<>(entries);
            left.remove(lost);
            EndpointGroups after = EndpointGroups.of(left);

            long moved = left.stream()
                    .filter(entry -> !before.groupOf(entry.key()).equals(after.groupOf(entry.key())))
                    .count();
            assertThat(moved).isLessThanOrEqualTo(before.of("s").size());
        }
    }

    /** Guards against requests that leave their zone because a group spans two. */
    @Test
    void theGroupsFollowTheZonesOnceTheZonesHaveTwelveEndpointsEachOnAverage() {
        EndpointGroups groups = EndpointGroups.of(entries(89, 4));

        assertThat(groups.of("s"))
                .hasSize(4)
                .allSatisfy(group -> assertThat(groups.members(group))
                        .allMatch(entry -> Optional.of(entry.zone()).equals(groups.zoneOf(group))));
        assertThat(groups.inZone("s", new AvailabilityZone("z0"))).hasSize(1);
        assertThat(EndpointGroups.of(entries(90, 3)).inZone("s", new AvailabilityZone("z0")))
                .hasSize(2);
        assertThat(EndpointGroups.of(entries(48, 4)).of("s")).hasSize(4);
    }

    /** Guards against other groups, and therefore other coordinators, for services with few endpoints. */
    @Test
    void withFewerEndpointsTheGroupsAreThoseThatSpanZones() {
        for (int count : new int[] {1, 4, 13, 37, 44, 47}) {
            assertThat(EndpointGroups.of(entries(count, 4))
                            .hasSameGroups(EndpointGroups.spanningZones(entries(count, 4))))
                    .isTrue();
        }
    }

    /** Guards against all groups changing again and again while a zone has about 12 endpoints, which start and end. */
    @Test
    void aZoneThatLosesAndRegainsEndpointsOneAtATimeDoesNotChangeTheGroupsOfOthers() {
        List<EndpointEntry> entries = entries(88, 4);
        List<EndpointGroup> others = EndpointGroups.of(entries).of("s").subList(0, 3);
        List<EndpointEntry> left = new ArrayList<>(entries);
        for (int lost = 0; lost < 22; lost++) {
            left.remove(entries.get(3 + 4 * lost));
            EndpointGroups after = EndpointGroups.of(left);

            assertThat(others)
                    .allSatisfy(group -> assertThat(after.members(group))
                            .isEqualTo(EndpointGroups.of(entries).members(group)));
        }
    }

    @Test
    void aChangeOfARegistrationAloneKeepsTheGroups() {
        List<EndpointEntry> entries = entries(20, 2);
        List<EndpointEntry> leaving = new ArrayList<>(entries);
        EndpointEntry first = entries.get(0);
        leaving.set(
                0,
                new EndpointEntry(
                        first.id(), 1, first.service(), "v1", first.address(), first.zone(), first.slots(), true, 0));

        assertThat(EndpointGroups.of(leaving).hasSameGroups(EndpointGroups.of(entries)))
                .isTrue();
        assertThat(EndpointGroups.of(entries.subList(1, 20)).hasSameGroups(EndpointGroups.of(entries)))
                .isFalse();
    }

    private static List<EndpointEntry> entries(int count, int zones) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(new EndpointEntry(
                    "e" + i,
                    1,
                    "s",
                    "v1",
                    new Address("10.0.0.1", 8000 + i),
                    new AvailabilityZone("z" + i % zones),
                    7,
                    false,
                    0));
        }
        return entries;
    }
}
