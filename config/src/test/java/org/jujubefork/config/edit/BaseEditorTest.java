package org.jujubefork.config.edit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import org.jujubefork.config.source.SourceParser;
import org.jujubefork.config.source.SourceText;
import org.testng.annotations.Test;

/** Guards against edits that lose comments, break the syntax or change the wrong value. */
public final class BaseEditorTest {
    private static final String BASE =
            """
            {
              // Teams, largest first.
              "teams": [
                {"name": "a", "weight": 2, /* agreed in May */ "limit": {"cpuMillis": 5, "memoryMb": 6}},
                {"name": "b", "weight": 1, "limit": {"cpuMillis": 7, "memoryMb": 8}} // small, for now
              ],
              "keys": [
                {"id": "k1", "team": "a", "sha256": "1"}, // first, of the web shop
                // Used by the phone app.
                {"id": "k2", "team": "a", "sha256": "2"},
                {"id": "k3", "team": "b", "sha256": "3"}
              ]
            }
            """;

    @Test
    public void addingAKeyLeavesAllOtherTextUnchanged() throws EditException {
        String edited = BaseEditor.addKey(BASE, "k4", "b", "4");
        String element = "{\"id\": \"k4\", \"team\": \"b\", \"sha256\": \"4\"}";
        assertEquals(
                edited, BASE.replace("\"sha256\": \"3\"}", "\"sha256\": \"3\"},\n    " + element));
    }

    @Test
    public void anElementIsAppendedAfterATrailingComment() throws EditException {
        String edited = BaseEditor.setTeam(BASE, team("c", 1.5, 10, 20));
        assertTrue(edited.contains("\"memoryMb\": 8}}, // small, for now\n    {\"name\": \"c\""));
        assertTrue(edited.contains("\"weight\": 1.5"), edited);
        assertParses(edited);
    }

    @Test
    public void aMissingListIsCreated() throws EditException {
        String edited = BaseEditor.addOperator(BASE, "o1", "5");
        SourceText source = assertParses(edited);
        assertEquals(source.root().orElseThrow().elementsOfMember("operators").size(), 1);
        assertParses(BaseEditor.addKey("{\"keys\": []}", "k", "t", "1"));
        assertParses(BaseEditor.addKey("{\"keys\": [ // none yet\n]}", "k", "t", "1"));
        assertParses(BaseEditor.addKey("{}", "k", "t", "1"));
    }

    @Test
    public void withdrawingAKeyRemovesExactlyOneComma() throws EditException {
        for (String id : new String[] {"k1", "k2", "k3"}) {
            String edited = BaseEditor.withdrawKey(BASE, id);
            assertEquals(
                    assertParses(edited).root().orElseThrow().elementsOfMember("keys").size(), 2);
            assertTrue(edited.contains("// first, of the web shop"), edited);
            assertTrue(edited.contains("// Used by the phone app."), edited);
            assertTrue(!edited.contains("\"" + id + "\""), edited);
        }
        EditException exception =
                expectThrows(EditException.class, () -> BaseEditor.withdrawKey(BASE, "k9"));
        assertTrue(exception.getMessage().contains("k9"));
    }

    @Test
    public void changingATeamKeepsOmittedValues() throws EditException {
        TeamEdit edit =
                new TeamEdit(
                        "a",
                        OptionalDouble.of(3),
                        OptionalLong.empty(),
                        OptionalLong.of(60),
                        OptionalLong.empty());
        String edited = BaseEditor.setTeam(BASE, edit);
        assertEquals(
                edited,
                BASE.replace("\"weight\": 2", "\"weight\": 3")
                        .replace("\"memoryMb\": 6", "\"memoryMb\": 60"));
    }

    @Test
    public void teamWithIncompleteLimitIsRejected() {
        String base = "{\"teams\": [{\"name\": \"a\", \"weight\": 1, \"limit\": {}}]}";
        expectThrows(EditException.class, () -> BaseEditor.setTeam(base, team("a", 1, 2, 3)));
    }

    @Test
    public void duplicateKeyIdIsRejected() {
        expectThrows(EditException.class, () -> BaseEditor.addKey(BASE, "k1", "b", "9"));
    }

    /**
     * Guards against sequences of edits after which the text no longer parses or lacks comments.
     */
    @Test
    public void randomEditsKeepValidSyntaxAndAllComments() throws EditException {
        long seed = 20261204;
        Random random = new Random(seed);
        String text = BASE;
        int expectedKeys = 3;
        for (int i = 0; i < 300; i++) {
            int actualKeys =
                    assertParses(text).root().orElseThrow().elementsOfMember("keys").size();
            assertEquals(actualKeys, expectedKeys, "seed " + seed + " step " + i);
            if (expectedKeys > 0 && random.nextBoolean()) {
                int removedIndex = random.nextInt(expectedKeys);
                String id =
                        SourceParser.parse("t", text)
                                .root()
                                .orElseThrow()
                                .elementsOfMember("keys")
                                .get(removedIndex)
                                .stringMember("id")
                                .orElseThrow();
                text = BaseEditor.withdrawKey(text, id);
                expectedKeys--;
            } else {
                text = BaseEditor.addKey(text, "n" + i, "a", Integer.toString(i));
                expectedKeys++;
            }
        }
        assertTrue(text.contains("// Used by the phone app."), "seed " + seed);
        assertTrue(text.contains("/* agreed in May */"), "seed " + seed);
    }

    @Test
    public void keysHaveTheDocumentedFormatAndHash() {
        assertEquals(
                AccessKeys.hash("abc"),
                "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
        String key = AccessKeys.generate(new Random(1));
        assertTrue(key.matches("jj_[A-Za-z0-9_-]{43}"), key);
    }

    private static TeamEdit team(String name, double weight, long cpu, long memory) {
        return new TeamEdit(
                name,
                OptionalDouble.of(weight),
                OptionalLong.of(cpu),
                OptionalLong.of(memory),
                OptionalLong.empty());
    }

    private static SourceText assertParses(String text) {
        SourceText source = SourceParser.parse("edited", text);
        assertTrue(source.findings().isEmpty(), source.findings() + "\n" + text);
        return source;
    }
}
