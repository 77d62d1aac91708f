import java.nio.file.Path;

/** Runs one case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
final class Case {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    /** Plays the case; true if the rule held. */
    interface Play {
        boolean play(Path repository, boolean trouble) throws Exception;
    }

    private Case() {}

    static void run(String[] args, Play play) {
        int status;
        try {
            Journal.open(Path.of(args[0], "record.txt"));
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            Journal.note(trouble ? "with the disruption" : "without the disruption");
            boolean held = play.play(Path.of(args[1]), trouble);
            status = held ? HELD : BROKEN;
            Journal.note(held ? "the rule held" : "THE RULE WAS BROKEN");
        } catch (Exception e) {
            Journal.note("the case couldn't run: %s", e);
            status = NOT_RUN;
        }
        System.exit(status);
    }

    /** Ends the case as one that couldn't run unless the condition holds. */
    static void require(boolean condition, String otherwise) {
        if (!condition) {
            throw new IllegalStateException(otherwise);
        }
    }
}
