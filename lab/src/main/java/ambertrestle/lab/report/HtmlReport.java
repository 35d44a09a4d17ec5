package ambertrestle.lab.report;

import ambertrestle.lab.simulation.MetricsRecorder.Series;
import io.vertx.core.json.JsonObject;
import java.awt.Color;
import java.io.IOException;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import org.knowm.xchart.AnnotationLine;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Renders the report of a scenario as one self-contained HTML page: a table of all runs, then the plots of one run per
 * policy, with one value per second and a vertical line at each event.
 */
public final class HtmlReport {
    private static final int PLOT_WIDTH_PIXELS = 1000;
    private static final int PLOT_HEIGHT_PIXELS = 260;

    /** One plot: its title, the label of its y axis, and the series drawn in it. */
    private record Plot(String title, String unit, List<Series> series) {}

    private static final List<Plot> PLOTS = List.of(
            new Plot("Benefit", "a second", List.of(Series.OFFERED_BENEFIT, Series.BENEFIT)),
            new Plot(
                    "Answers by kind",
                    "a second",
                    List.of(Series.ESTABLISHED, Series.SHED, Series.FORFEITED, Series.UNANSWERED, Series.REFUSED)),
            new Plot(
                    "Opens, reconnects and dispatches",
                    "a second",
                    List.of(Series.OPENS, Series.RECONNECTS, Series.DISPATCHES)),
            new Plot("Dispatches to backends that are cold", "a second", List.of(Series.DISPATCHES_TO_COLD_BACKENDS)),
            new Plot("Ends of open connections", "a second", List.of(Series.DONE, Series.MOVED, Series.BROKEN)),
            new Plot(
                    "Open at backends, and in flight",
                    "connections",
                    List.of(Series.OPEN_CONNECTIONS, Series.AWAITING_ANSWER)),
            new Plot(
                    "Load at backends by what is open there",
                    "% of speed",
                    List.of(Series.MAX_UTILIZATION, Series.MEAN_UTILIZATION)),
            new Plot("Queues at backends", "ms", List.of(Series.MAX_QUEUE_DELAY, Series.MEAN_QUEUE_DELAY)),
            new Plot("Lines", "a second", List.of(Series.LINES, Series.LATE_LINES)));

    private HtmlReport() {}

    /**
     * The page as HTML text.
     *
     * @param summary the summary of all runs, as {@link Summary#of} makes it
     * @param results the runs; plots are drawn for the first run of each policy
     * @throws IOException if a plot cannot be encoded as PNG
     */
    public static String render(JsonObject summary, List<RunResult> results) throws IOException {
        StringBuilder page = new StringBuilder("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escapeHtml(summary.getString("scenario")))
                .append("</title><style>body{font:15px sans-serif;margin:2em;max-width:1100px}"
                        + "table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:3px 9px;text-align:right}"
                        + "td:first-child,th:first-child{text-align:left}.broken{color:#b00}</style></head><body><h1>")
                .append(escapeHtml(summary.getString("scenario")))
                .append("</h1><p>")
                .append(escapeHtml(summary.getString("says", "")))
                .append("</p><p>Played as: ")
                .append(escapeHtml(summary.getString("mode")))
                .append("</p>");
        appendResultsTable(page, summary, results);
        for (RunResult result : firstResultPerPolicy(results)) {
            page.append("<h2>")
                    .append(escapeHtml(result.policy()))
                    .append(", seed ")
                    .append(result.seed())
                    .append("</h2><ul>");
            result.eventLog()
                    .forEach(event ->
                            page.append("<li>").append(escapeHtml(event)).append("</li>"));
            page.append("</ul>");
            for (int i = 0; i < result.metrics().getJsonArray("first breaches").size(); i++) {
                page.append("<p class=\"broken\">")
                        .append(escapeHtml(
                                result.metrics().getJsonArray("first breaches").getString(i)))
                        .append("</p>");
            }
            for (Plot plot : PLOTS) {
                page.append("<p><img alt=\"")
                        .append(plot.title)
                        .append("\" src=\"data:image/png;base64,")
                        .append(Base64.getEncoder().encodeToString(renderPng(plot, result)))
                        .append("\"></p>");
            }
        }
        return page.append("</body></html>\n").toString();
    }

    private static List<RunResult> firstResultPerPolicy(List<RunResult> results) {
        return results.stream()
                .filter(result -> results.stream()
                                .filter(other -> other.policy().equals(result.policy()))
                                .findFirst()
                                .get()
                        == result)
                .toList();
    }

    private static void appendResultsTable(StringBuilder page, JsonObject summary, List<RunResult> results) {
        page.append(
                "<table><tr><th>policy</th><th>seed</th><th>share of benefit</th><th>rules</th><th>up</th><th>shed</th>"
                        + "<th>forfeited</th><th>no answer</th><th>moved</th><th>broken</th><th>opening p50, p99 ms</th><th>line p50, p99 ms</th></tr>");
        for (RunResult result : results) {
            JsonObject metrics = result.metrics();
            JsonObject answers = metrics.getJsonObject("answers");
            page.append("<tr><td>")
                    .append(escapeHtml(result.policy()))
                    .append("</td><td>")
                    .append(result.seed())
                    .append("</td><td>")
                    .append(String.format(Locale.ROOT, "%.4f", result.benefitShare()))
                    .append(result.isComplete() ? "" : " (cut short)")
                    .append(result.isCpuStarved() ? " (starved of CPU: no result)" : "")
                    .append(result.invariantsHeld() ? "</td><td>kept" : "</td><td class=\"broken\">broken");
            for (Series series : List.of(
                    Series.ESTABLISHED,
                    Series.SHED,
                    Series.FORFEITED,
                    Series.UNANSWERED,
                    Series.MOVED,
                    Series.BROKEN)) {
                page.append("</td><td>").append(answers.getLong(series.label));
            }
            for (String latencyKey : List.of("opening, ms", "line, ms")) {
                page.append("</td><td>")
                        .append(metrics.getJsonObject(latencyKey).getDouble("p50"))
                        .append(", ")
                        .append(metrics.getJsonObject(latencyKey).getDouble("p99"));
            }
            page.append("</td></tr>");
        }
        page.append("</table>");
    }

    private static byte[] renderPng(Plot plot, RunResult result) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(PLOT_WIDTH_PIXELS)
                .height(PLOT_HEIGHT_PIXELS)
                .title(plot.title)
                .xAxisTitle("seconds")
                .yAxisTitle(plot.unit)
                .build();
        chart.getStyler().setXAxisDecimalPattern("0").setMarkerSize(0);
        chart.getStyler()
                .setLegendPosition(Styler.LegendPosition.OutsideE)
                .setChartBackgroundColor(Color.WHITE)
                .setAnnotationLineColor(new Color(190, 40, 40));
        for (Series series : plot.series) {
            double[] values = result.recorder().valuesPerSecond(series);
            double[] seconds = new double[values.length];
            for (int i = 0; i < seconds.length; i++) {
                // A value covers one second and is drawn in its middle.
                seconds[i] = i + 0.5;
            }
            chart.addSeries(series.label, seconds, values).setMarker(SeriesMarkers.NONE);
        }
        for (String event : result.eventLog()) {
            // An event line starts with its time in seconds, followed by a space.
            chart.addAnnotation(
                    new AnnotationLine(Double.parseDouble(event.substring(0, event.indexOf(' '))), true, false));
        }
        return BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
    }

    private static String escapeHtml(String text) {
        return text == null
                ? ""
                : text.replace("&", "&amp;")
                        .replace("<", "&lt;")
                        .replace(">", "&gt;")
                        .replace("\"", "&quot;");
    }
}
