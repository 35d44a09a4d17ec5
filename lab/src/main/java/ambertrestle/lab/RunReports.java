package ambertrestle.lab;

import ambertrestle.lab.report.HtmlReport;
import ambertrestle.lab.report.RunResult;
import ambertrestle.lab.report.Summary;
import ambertrestle.lab.scenario.Scenario;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** The reports of the runs of one scenario: summary.json and report.html. */
final class RunReports {
    private RunReports() {}

    /** Writes summary.json and report.html; creates the directory if it doesn't exist. */
    static void write(Path outputDirectory, Scenario scenario, RunMode mode, List<RunResult> results)
            throws IOException {
        Files.createDirectories(outputDirectory);
        JsonObject summary = Summary.of(scenario.name(), mode.name().toLowerCase(Locale.ROOT), results)
                .put("says", scenario.description());
        Files.writeString(outputDirectory.resolve("summary.json"), summary.encodePrettily() + "\n");
        Files.writeString(outputDirectory.resolve("report.html"), HtmlReport.render(summary, results));
    }
}
