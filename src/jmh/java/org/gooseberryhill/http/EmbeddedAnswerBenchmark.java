package org.gooseberryhill.http;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Time to search a part of a body for another answer: two parts of 64 KB each. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class EmbeddedAnswerBenchmark {
    private static final int PART_BYTES = 64 * 1024;

    /** Events of a stream, the worst letter, and lines each of which may begin a head or continue one. */
    @Param({"id: 7\ndata: {\"token\":\"Word\"}\n\n", "H", "a: HTTP/1.1 200 b\n"})
    private String line;

    private byte[] part;

    /** Prepares the part of a body. */
    @Setup
    public void prepare() {
        part = line.repeat(PART_BYTES / line.length()).getBytes(StandardCharsets.US_ASCII);
    }

    /** Searches two parts of a body. */
    @Benchmark
    public int search() {
        EmbeddedAnswerSearch search = new EmbeddedAnswerSearch(headers -> false);
        return search.read(part).length + search.read(part).length;
    }
}
