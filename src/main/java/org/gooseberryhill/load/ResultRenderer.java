package org.gooseberryhill.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Renders the results of a deployment as a table and a plot. Stateless. */
public final class ResultRenderer {
    private static final int WIDTH = 640;
    private static final int HEIGHT = 420;
    private static final int MARGIN = 60;

    private ResultRenderer() {}

    /** Returns a Markdown table with the median, minimum and maximum over the repeats of each point. */
    public static String markdownTable(List<RunResult> runs) {
        StringBuilder text = new StringBuilder();
        text.append("| decisions | batch share | faults | batch items/s | batch tokens/s | first token p50 ms | "
                + "p95 ms | p99 ms | between tokens p95 ms | plain p99 ms | whole / wrong / cut / refused |\n");
        text.append("|---|---|---|---|---|---|---|---|---|---|---|\n");
        groupByPoint(runs)
                .forEach((point, repeats) -> text.append("| %s | %d%% | %s | %s | %s | %s | %s | %s | %s | %s | %s |%n"
                        .formatted(
                                point.baseline() ? "baseline" : "product",
                                point.batchPercent(),
                                point.faults() ? "yes" : "no",
                                formatSpread(repeats, RunResult::itemsPerSecond),
                                formatSpread(repeats, RunResult::batchTokensPerSecond),
                                formatSpread(repeats, RunResult::firstTokenP50Millis),
                                formatSpread(repeats, RunResult::firstTokenP95Millis),
                                formatSpread(repeats, RunResult::firstTokenP99Millis),
                                formatSpread(repeats, RunResult::gapP95Millis),
                                formatSpread(repeats, RunResult::plainP99Millis),
                                formatEnds(repeats))));
        return text.toString();
    }

    /** Returns an SVG plot of the median batch throughput against the median online p99 of each point. */
    public static String svgPlot(String title, List<RunResult> runs) {
        double maxX = runs.stream().mapToDouble(RunResult::itemsPerSecond).max().orElse(1) * 1.1 + 1;
        double maxY =
                runs.stream().mapToDouble(RunResult::firstTokenP99Millis).max().orElse(1) * 1.1 + 1;
        StringBuilder svg = new StringBuilder();
        svg.append("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" "
                .formatted(WIDTH, HEIGHT));
        svg.append("font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n");
        svg.append(textElement(WIDTH / 2.0 - 160, 24, title + ": batch throughput against online p99"));
        svg.append(textElement(WIDTH / 2.0 - 60, HEIGHT - 12, "batch items a second"));
        svg.append(textElement(8, MARGIN - 24, "first token p99, ms (o product, x baseline; filled: with faults)"));
        drawAxes(svg, maxX, maxY);
        groupByPoint(runs).forEach((point, repeats) -> {
            double x = MARGIN + median(repeats, RunResult::itemsPerSecond) / maxX * (WIDTH - 2 * MARGIN);
            double y = HEIGHT - MARGIN - median(repeats, RunResult::firstTokenP99Millis) / maxY * (HEIGHT - 2 * MARGIN);
            drawPoint(svg, point, x, y);
        });
        return svg.append("</svg>\n").toString();
    }

    private static void drawAxes(StringBuilder svg, double maxX, double maxY) {
        svg.append("<path d=\"M%d %d V%d H%d\" stroke=\"black\" fill=\"none\"/>%n"
                .formatted(MARGIN, MARGIN, HEIGHT - MARGIN, WIDTH - MARGIN));
        for (int tick = 0; tick <= 4; tick++) {
            double share = tick / 4.0;
            svg.append(textElement(
                    MARGIN + share * (WIDTH - 2 * MARGIN) - 10, HEIGHT - MARGIN + 18, "%.0f".formatted(share * maxX)));
            svg.append(textElement(
                    18, HEIGHT - MARGIN - share * (HEIGHT - 2 * MARGIN) + 4, "%.0f".formatted(share * maxY)));
        }
    }

    private static void drawPoint(StringBuilder svg, Experiment.Point point, double x, double y) {
        String label = point.batchPercent() + "%";
        if (point.baseline()) {
            svg.append("<path d=\"M%.1f %.1f l10 10 m0 -10 l-10 10\" stroke=\"#b00\" stroke-width=\"2\"/>%n"
                    .formatted(x - 5, y - 5));
        } else {
            svg.append("<circle cx=\"%.1f\" cy=\"%.1f\" r=\"6\" stroke=\"#06c\" stroke-width=\"2\" fill=\"%s\"/>%n"
                    .formatted(x, y, point.faults() ? "#06c" : "none"));
        }
        svg.append(textElement(x + 9, y - 6, label));
    }

    private static String textElement(double x, double y, String content) {
        return "<text x=\"%.1f\" y=\"%.1f\">%s</text>%n".formatted(x, y, content);
    }

    private static Map<Experiment.Point, List<RunResult>> groupByPoint(List<RunResult> runs) {
        Map<Experiment.Point, List<RunResult>> byPoint = new LinkedHashMap<>();
        runs.forEach(run ->
                byPoint.computeIfAbsent(run.point(), key -> new ArrayList<>()).add(run));
        return byPoint;
    }

    private static String formatSpread(List<RunResult> runs, ToDoubleFunction<RunResult> measure) {
        double min = runs.stream().mapToDouble(measure).min().orElse(0);
        double max = runs.stream().mapToDouble(measure).max().orElse(0);
        return String.format(Locale.ROOT, "%.1f (%.1f to %.1f)", median(runs, measure), min, max);
    }

    private static double median(List<RunResult> runs, ToDoubleFunction<RunResult> measure) {
        double[] sorted = runs.stream().mapToDouble(measure).sorted().toArray();
        return sorted[sorted.length / 2];
    }

    private static String formatEnds(List<RunResult> runs) {
        int[] sums = new int[4];
        for (RunResult run : runs) {
            for (int i = 0; i < sums.length; i++) {
                sums[i] += run.ends()[i];
            }
        }
        return sums[0] + " / " + sums[1] + " / " + sums[2] + " / " + sums[3];
    }
}
