package org.gooseberryhill.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RouteTableTest {
    private final RouteTable table =
            table(route("root", "a.example", "/"), route("deep", "a.example", "/x/y/"), route("b", "b.example", "/x/"));

    @Test
    void theLongestPrefixOfTheHostWins() {
        assertThat(findRouteName("a.example", "/x/y/z")).contains("deep");
        assertThat(findRouteName("a.example", "/x/yz")).contains("root");
        assertThat(findRouteName("b.example", "/x/y/z")).contains("b");
    }

    @Test
    void aPrefixBeginsAndEndsAtASlash() {
        assertThat(findRouteName("b.example", "/xy/z")).isEmpty();
        assertThat(findRouteName("b.example", "/x")).isEmpty();
        assertThat(findRouteName("b.example", "/x/")).contains("b");
    }

    @Test
    void theQueryIsNotPartOfThePath() {
        assertThat(findRouteName("b.example", "/y?to=/x/")).isEmpty();
        assertThat(findRouteName("b.example", "/x/?q=/y/")).contains("b");
    }

    @Test
    void theHostMatchesWithoutPortAndCase() {
        assertThat(findRouteName("B.Example:8080", "/x/1")).contains("b");
        assertThat(findRouteName("c.example", "/x/1")).isEmpty();
        assertThat(findRouteName("", "/x/1")).isEmpty();
    }

    @Test
    void aRouteIsFoundAmongAThousand() {
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            routes.add(route("r" + i, "a.example", "/p" + i + "/"));
        }
        RouteTable large = table(routes.toArray(Route[]::new));

        assertThat(large.find("a.example", "/p999/x").map(Route::name)).contains("r999");
    }

    @Test
    void onlySafeRoutesAndResumableStreamsAreRepeatable() {
        assertThat(routeOfKind(RouteKind.SAFE, false).isRepeatable()).isTrue();
        assertThat(routeOfKind(RouteKind.UNSAFE, true).isRepeatable()).isFalse();
        assertThat(routeOfKind(RouteKind.STREAM, false).isRepeatable()).isFalse();
        assertThat(routeOfKind(RouteKind.STREAM, true).isRepeatable()).isTrue();
    }

    private Optional<String> findRouteName(String host, String target) {
        return table.find(host, target).map(Route::name);
    }

    private static RouteTable table(Route... routes) {
        return new RouteTable(new RouteConfiguration(1, List.of(routes), Map.of(), ClientLimits.DEFAULT));
    }

    private static Route routeOfKind(RouteKind kind, boolean resumable) {
        return new Route(
                "r",
                "h",
                "/",
                kind,
                List.of(new RouteTarget("s", 1)),
                1000,
                100,
                2,
                0,
                resumable,
                false,
                0,
                0,
                0,
                false);
    }

    private static Route route(String name, String host, String prefix) {
        return new Route(
                name,
                host,
                prefix,
                RouteKind.SAFE,
                List.of(new RouteTarget("s", 1)),
                1000,
                100,
                2,
                0,
                false,
                false,
                0,
                0,
                0,
                false);
    }
}
