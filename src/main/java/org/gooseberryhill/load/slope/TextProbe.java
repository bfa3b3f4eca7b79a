package org.gooseberryhill.load.slope;

import java.util.List;
import java.util.function.ToDoubleFunction;

/** A cost of the operators' text with a number of endpoints and 12 callers for each 13 of them. Stateless. */
final class TextProbe implements SlopeProbe {
    private static final int CALLERS = 2400;
    private static final int ENDPOINTS = 2600;

    private final String name;
    private final String unit;
    private final ToDoubleFunction<String> cost;

    TextProbe(String name, String unit, ToDoubleFunction<String> cost) {
        this.name = name;
        this.unit = unit;
        this.cost = cost;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public String unit() {
        return unit;
    }

    @Override
    public String varied() {
        return "endpoints (with 2400 callers per 2600 of them)";
    }

    @Override
    public List<Integer> sizes() {
        return List.of(130, 650, 1300, 2600);
    }

    @Override
    public double measure(int size) {
        return cost.applyAsDouble(SampleTexts.configuration(size, size * CALLERS / ENDPOINTS));
    }
}
