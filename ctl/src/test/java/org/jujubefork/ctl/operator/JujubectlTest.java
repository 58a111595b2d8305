package org.jujubefork.ctl.operator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.jujubefork.client.api.ApplyResult;
import org.jujubefork.client.api.DrainView;
import org.jujubefork.client.api.EvacuationsView;
import org.jujubefork.client.api.ExplainView;
import org.jujubefork.client.api.MissingShardsView;
import org.jujubefork.client.api.RejectedView;
import org.jujubefork.client.api.StatusView;
import org.jujubefork.client.api.StoreView;
import org.jujubefork.client.api.TasksView;
import org.jujubefork.client.api.WorkersView;
import org.jujubefork.config.edit.AccessKeys;
import org.jujubefork.ctl.command.CommandSpec;
import org.jujubefork.ctl.command.ExitCode;
import org.jujubefork.ctl.command.SimulatedCell;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against wrong exit codes, overwritten changes of other operators and keys stored in plain
 * text.
 */
public final class JujubectlTest {
    private static final String BASE =
            """
            {
              "cell": {"name": "c", "expectedEntries": 1},
              "sites": ["accra"],
              "teams": [{"name": "web", "weight": 1, "limit": {"cpuMillis": 9, "memoryMb": 9}}],
              "operators": [{"id": "op", "sha256": "%s"}], // ours
              "queues": [{"name": "q", "team": "web", "kind": "lookup",
                          "size": {"cpuMillis": 1, "memoryMb": 1}}]
            }
            """
                    .formatted("a".repeat(64));

    private SimulatedCell cell;
    private Path dir;

    @BeforeMethod
    public void start() throws IOException {
        cell = SimulatedCell.start(BASE);
        dir = Files.createTempDirectory("jujubectl");
    }

    @AfterMethod
    public void stop() {
        cell.close();
    }

    private SimulatedCell.Result run(String... args) {
        return cell.run(Jujubectl.program(), args);
    }

    private String writeFile(String name, String text) throws IOException {
        Path file = dir.resolve(name);
        Files.createDirectories(file.getParent());
        Files.writeString(file, text);
        return file.toString();
    }

    /** Guards against figures of a follower, which knows no tasks, that pass as those of a zone. */
    @Test
    public void evacuationsNameTheLeader() {
        cell.setAnswers(
                Map.of(
                        "GET /v1/evacuations",
                        new EvacuationsView(
                                "e1",
                                true,
                                false,
                                "10.0.0.1:7420",
                                true,
                                List.of(new EvacuationsView.ZoneView("z-a", 1_500, 0, 0, 0)))));
        SimulatedCell.Result result = run("evacuations", "--daemon", cell.address());
        assertEquals(result.code(), ExitCode.OK, result.err());
        assertTrue(result.out().contains("10.0.0.1:7420"), result.out());
        assertTrue(result.out().contains("z-a"), result.out());
        assertEquals(run("evacuations").code(), ExitCode.USAGE);
    }

    @Test
    public void everyCommandHasHelp() {
        for (CommandSpec spec : Jujubectl.program().commands()) {
            String[] args = (spec.name() + " --help").split(" ");
            SimulatedCell.Result result = run(args);
            assertEquals(result.code(), ExitCode.OK, spec.name());
            assertTrue(result.out().contains("usage: jujubectl " + spec.name()), result.out());
        }
        SimulatedCell.Result overview = run("--help");
        assertEquals(overview.code(), ExitCode.OK);
        assertTrue(overview.out().contains("4  another change came first"), overview.out());
    }

    @Test
    public void wrongUsageExitsWithTwo() {
        for (String commandLine :
                List.of(
                        "",
                        "x",
                        "status y",
                        "status --x",
                        "status --output xml",
                        "key create k",
                        "explain cat 1",
                        "team set t --weight -1",
                        "config check",
                        "drain")) {
            String[] args = commandLine.isEmpty() ? new String[0] : commandLine.split(" ");
            assertEquals(run(args).code(), ExitCode.USAGE, commandLine);
        }
        assertEquals(cell.receivedCalls(), List.of());
    }

    @Test
    public void checkReportsFindingsOfFiles() throws IOException {
        String base = writeFile("base.jsonc", BASE.replace("\"weight\": 1", "\"wait\": 1"));
        SimulatedCell.Result result = run("config", "check", "--base", base);
        assertEquals(result.code(), ExitCode.FINDINGS);
        assertTrue(result.out().contains(base + ":4:29: error: $.teams[0].wait"), result.out());
        SimulatedCell.Result json =
                run("config", "check", "--dir", dir.toString(), "--output", "json");
        assertTrue(json.out().contains("\"severity\" : \"error\""), json.out());
        writeFile("base.jsonc", BASE);
        assertEquals(run("config", "check", "--dir", dir.toString()).code(), ExitCode.OK);
        assertEquals(run("config", "check", "--daemon", base).code(), ExitCode.FINDINGS);
    }

    @Test
    public void changedFilesAreDiffedAndApplied() throws IOException {
        String folder = dir.toString();
        assertEquals(run("config", "get", "--dir", folder).code(), ExitCode.OK);
        writeFile("base.jsonc", BASE.replace("\"weight\": 1", "\"weight\": 2"));
        writeFile(
                "overlays/accra.jsonc", "{\"site\": \"accra\", \"tuning\": {\"maxAttempts\": 7}}");
        String change = "~ base teams[web].weight: 1 -> 2";
        assertTrue(run("config", "diff", "--dir", folder).out().contains(change));
        assertTrue(run("config", "apply", "--dry-run", "--dir", folder).out().contains(change));
        assertEquals(cell.configuration().version(), 1);
        assertEquals(run("config", "apply", "--dir", folder).code(), ExitCode.OK);
        assertEquals(cell.configuration().version(), 2);
        assertTrue(cell.configuration().overlays().get("accra").contains("maxAttempts"));
        String shown = run("config", "show", "--site", "accra").out();
        assertTrue(shown.contains("maxAttempts=7"), shown);
        assertEquals(run("config", "apply", "--dir", folder).code(), ExitCode.OK);
        assertEquals(cell.configuration().version(), 3);
    }

    @Test
    public void versionConflictListsConcurrentChanges() throws IOException {
        String base = writeFile("base.jsonc", BASE);
        SimulatedCell.Result result = run("config", "apply", "--base", base, "--if-version", "7");
        assertEquals(result.code(), ExitCode.CONFLICT);
        assertTrue(result.err().contains("changed meanwhile: base x: 1 -> 2"), result.err());
        assertEquals(run("config", "apply", "--base", base).code(), ExitCode.USAGE);
    }

    @Test
    public void newKeyIsPrintedOnceAndOnlyItsHashIsStored() {
        cell.rejectNextChanges(2);
        SimulatedCell.Result result = run("key", "create", "k1", "--team", "web");
        assertEquals(result.code(), ExitCode.OK, result.err());
        String key = result.out().strip();
        String base = cell.configuration().base();
        assertTrue(base.contains(AccessKeys.hash(key)), base);
        assertFalse(base.contains(key), base);
        assertTrue(base.contains("// ours") && base.contains("// other\n// other\n"), base);
        assertTrue(run("key", "list").out().contains("team web"));
        assertEquals(run("key", "create", "k1", "--operator").code(), ExitCode.FAILED);
        assertEquals(run("key", "create", "k2", "--team", "wed").code(), ExitCode.FINDINGS);
        assertEquals(run("key", "withdraw", "k1").code(), ExitCode.OK);
        assertFalse(cell.configuration().base().contains(AccessKeys.hash(key)));
        assertEquals(run("key", "withdraw", "k1").code(), ExitCode.FAILED);
    }

    @Test
    public void unconfirmedChangeExitsWithFailed() {
        cell.setApplyStatus(ApplyResult.Status.UNCONFIRMED);
        SimulatedCell.Result result = run("team", "set", "web", "--cpu-millis", "20");
        assertEquals(result.code(), ExitCode.FAILED);
        assertTrue(cell.configuration().base().contains("\"cpuMillis\": 20"));
        SimulatedCell.Result limitBelowQueueSize = run("team", "set", "web", "--cpu-millis", "0");
        assertEquals(limitBelowQueueSize.code(), ExitCode.FINDINGS, limitBelowQueueSize.err());
        assertTrue(run("team", "list").out().contains("20m/9MiB/0acc"));
    }

    @Test
    public void viewsAreShownAsTextAndJson() {
        StatusView status =
                new StatusView(
                        "e1#1",
                        "serving",
                        4,
                        true,
                        new StoreView(false, 9),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of());
        ExplainView explain =
                new ExplainView(
                        "job j/1",
                        "queued",
                        0,
                        List.of("limit"),
                        List.of(new RejectedView("no memory", 3)),
                        "memory is free");
        List<MissingShardsView> missing =
                List.of(new MissingShardsView("e2", List.of("z2"), "no answer within 2000 ms"));
        cell.setAnswers(
                Map.of(
                        "GET /v1/admin/status", status,
                        "GET /v1/admin/workers", new WorkersView(List.of(), missing),
                        "GET /v1/admin/tasks?team=web", new TasksView(List.of(), missing),
                        "GET /v1/admin/explain?subject=job&id=j%2F1", explain,
                        "POST /v1/admin/drain", new DrainView("e1#1", "leaving", 2)));
        assertTrue(run("status").out().contains("store not reachable, last contact 9 ms ago"));
        assertTrue(run("status", "--output", "json").out().contains("\"role\" : \"serving\""));
        assertEquals(run("workers").code(), ExitCode.OK);
        assertEquals(run("tasks", "--team", "web").code(), ExitCode.OK);
        String missingShardsLine = "missing: shards [z2] of entry e2: no answer within 2000 ms";
        assertTrue(run("workers").out().contains(missingShardsLine), run("workers").out());
        assertTrue(run("tasks", "--team", "web").out().contains(missingShardsLine));
        assertTrue(run("workers", "--output", "json").out().contains("\"missing\""));
        String explained = run("explain", "job", "j/1").out();
        assertTrue(explained.contains("rejected 3 workers: no memory"), explained);
        assertTrue(!explained.contains("1970"), "an unknown time is printed: " + explained);
        assertTrue(run("drain", "--entry", cell.address()).out().contains("open requests 2"));
        assertEquals(run("explain", "job", "other").code(), ExitCode.FAILED);
    }

    @Test
    public void unreachableCellExitsWithFive() {
        SimulatedCell.Result result =
                run("status", "--entries", "127.0.0.1:1", "--timeout-seconds", "1");
        assertEquals(result.code(), ExitCode.NOT_REACHABLE, result.err());
    }
}
