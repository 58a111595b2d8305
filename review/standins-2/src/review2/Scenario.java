package review2;

import java.nio.file.Path;

/** Runs one case: arguments are its class and its folder. */
public final class Scenario {
    /** A case; returns whether the rule was broken. */
    interface Body {
        boolean run(boolean trouble) throws Exception;
    }

    /** Differs from 1, the status of a Java process that cannot start. */
    private static final int BROKEN = 10;

    private Scenario() {}

    /** Exits with 10 if the rule was broken, 0 if it held, 2 if the case could not run. */
    public static void main(String[] arguments) throws Exception {
        Record.open(Path.of(arguments[1], "record.txt"));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try {
            Body body = (Body) Class.forName("review2." + arguments[0]).getDeclaredConstructor().newInstance();
            boolean broken = body.run(trouble);
            Record.line(broken ? "the rule was broken" : "the rule held");
            status = broken ? BROKEN : 0;
        } catch (Throwable e) {
            Record.line("the case could not run: " + e);
            e.printStackTrace();
            status = 2;
        }
        System.exit(status);
    }
}
