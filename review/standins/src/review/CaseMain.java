package review;

import java.nio.file.Path;

/** Runs one case. Exit codes: 10 the rule was broken, 0 it held, 2 the case could not run. */
public final class CaseMain {
    /** A case: returns whether the rule was broken. */
    interface Case {
        boolean run(Record record, boolean trouble) throws Exception;
    }

    private static final int BROKEN = 10;
    private static final int HELD = 0;
    private static final int CANNOT_RUN = 2;

    private CaseMain() {}

    public static void main(String[] arguments) throws Exception {
        Case chosen =
                switch (arguments[0]) {
                    case "quota" -> new QuotaCase();
                    case "waiting" -> new WaitingCase();
                    case "drain" -> new DrainCase();
                    case "budget" -> new BudgetCase();
                    case "stuck" -> new StuckCase();
                    default -> throw new IllegalArgumentException(arguments[0]);
                };
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try (Record record = new Record(Path.of(arguments[1]))) {
            try {
                boolean broken = chosen.run(record, trouble);
                record.add("RESULT: %s", broken ? "the rule was broken" : "the rule held");
                code = broken ? BROKEN : HELD;
            } catch (Exception | LinkageError e) {
                record.add("RESULT: the case could not run: %s", e);
                code = CANNOT_RUN;
            }
        }
        System.exit(code);
    }
}
