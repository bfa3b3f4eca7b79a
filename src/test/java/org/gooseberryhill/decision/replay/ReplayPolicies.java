package org.gooseberryhill.decision.replay;

import java.util.Random;
import java.util.function.Function;
import java.util.function.Supplier;
import org.gooseberryhill.decision.coordination.FeasibleFirstOrder;
import org.gooseberryhill.decision.coordination.FluctuationReserve;
import org.gooseberryhill.decision.coordination.GroupRouting;
import org.gooseberryhill.decision.coordination.ItemOrder;
import org.gooseberryhill.decision.coordination.SlotReserve;
import org.gooseberryhill.decision.dispatch.DispatchPolicies;
import org.gooseberryhill.decision.dispatch.EndpointSpeeds;
import org.gooseberryhill.decision.dispatch.Fleet;
import org.gooseberryhill.decision.dispatch.GroupSelector;
import org.gooseberryhill.decision.dispatch.ObservedEndpointSpeeds;
import org.gooseberryhill.decision.requestbatch.BatchRoutes;
import org.gooseberryhill.decision.requestbatch.ItemDispatch;
import org.gooseberryhill.decision.requestbatch.ItemQuarantine;
import org.gooseberryhill.decision.requestbatch.RestartNever;
import org.gooseberryhill.decision.share.AccountShares;
import org.gooseberryhill.decision.share.ArrivalOrder;

/**
 * The policies of all hosts in a replay. Immutable.
 *
 * @param requestPolicies creates the policies for online requests from a random source
 * @param reserve the slots that items leave free
 * @param order the order in which items get slots
 * @param coordinated whether hosts ask coordinators for endpoints, as in the product
 * @param speeds creates what a coordinator knows of the speed of endpoints
 * @param zones how a zone is chosen
 * @param shares creates what decides on requests by the account that sent them, from a random source
 */
record ReplayPolicies(
        Function<Random, DispatchPolicies> requestPolicies,
        SlotReserve reserve,
        ItemOrder order,
        boolean coordinated,
        Supplier<EndpointSpeeds> speeds,
        ReplayZonePolicy zones,
        Function<Random, AccountShares> shares) {
    /** The policies that the product uses. */
    static final ReplayPolicies PRODUCT =
            new ReplayPolicies(DispatchPolicies::defaults, new FluctuationReserve(), new FeasibleFirstOrder(), true);

    /** Creates policies with the product's knowledge of endpoints and choice of zones, without client accounts. */
    ReplayPolicies(
            Function<Random, DispatchPolicies> requestPolicies,
            SlotReserve reserve,
            ItemOrder order,
            boolean coordinated) {
        this(
                requestPolicies,
                reserve,
                order,
                coordinated,
                ObservedEndpointSpeeds::new,
                ReplayZonePolicy.WHEN_IT_PAYS,
                random -> new ArrivalOrder());
    }

    /** Returns the product's policies with another decision on requests by the account that sent them. */
    static ReplayPolicies withShares(Function<Random, AccountShares> shares) {
        return new ReplayPolicies(
                PRODUCT.requestPolicies,
                PRODUCT.reserve,
                PRODUCT.order,
                PRODUCT.coordinated,
                PRODUCT.speeds,
                PRODUCT.zones,
                shares);
    }

    /** Returns the product's policies with another knowledge of the speed of endpoints. */
    static ReplayPolicies withSpeeds(Supplier<EndpointSpeeds> speeds) {
        return new ReplayPolicies(
                PRODUCT.requestPolicies,
                PRODUCT.reserve,
                PRODUCT.order,
                PRODUCT.coordinated,
                speeds,
                PRODUCT.zones,
                PRODUCT.shares);
    }

    /** Returns the product's policies with other ones for online requests. */
    static ReplayPolicies withRequestPolicies(Function<Random, DispatchPolicies> policies) {
        return new ReplayPolicies(policies, new FluctuationReserve(), new FeasibleFirstOrder(), true);
    }

    /** Returns the product's policies with another way to choose a zone. */
    static ReplayPolicies withZones(ReplayZonePolicy zones) {
        return new ReplayPolicies(
                PRODUCT.requestPolicies,
                PRODUCT.reserve,
                PRODUCT.order,
                PRODUCT.coordinated,
                PRODUCT.speeds,
                zones,
                PRODUCT.shares);
    }

    DispatchPolicies requests(Random random) {
        return requestPolicies.apply(random);
    }

    /** All endpoints of a replay have the same software version, so no item ever starts anew. */
    ItemDispatch items(Fleet fleet, BatchRoutes routes) {
        return new ItemDispatch(fleet, routes, order, new RestartNever(), ItemQuarantine.none());
    }

    GroupSelector selector(GroupRouting routing) {
        return coordinated ? routing : GroupSelector.NONE;
    }
}
