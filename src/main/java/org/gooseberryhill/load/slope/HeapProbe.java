package org.gooseberryhill.load.slope;

import java.util.List;
import java.util.function.IntFunction;

/** The live heap of a table with a number of entries. Stateless. */
final class HeapProbe implements SlopeProbe {
    private final String name;
    private final String varied;
    private final List<Integer> sizes;
    private final IntFunction<Object> builder;

    HeapProbe(String name, String varied, List<Integer> sizes, IntFunction<Object> builder) {
        this.name = name;
        this.varied = varied;
        this.sizes = sizes;
        this.builder = builder;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public String unit() {
        return "bytes of live heap";
    }

    @Override
    public String varied() {
        return varied;
    }

    @Override
    public List<Integer> sizes() {
        return sizes;
    }

    @Override
    public double measure(int size) {
        builder.apply(size);
        return LiveHeap.bytesOf(() -> builder.apply(size));
    }
}
