package cobaltwalk;

import cobaltwalk.benchlink.BenchLink;

/** Command line: runs the module behind the bench's wire. */
public final class Main {
    private Main() { }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar cobaltwalk.jar benchlink");
            System.exit(2);
        }
        System.exit(BenchLink.run(System.in, System.out, System.err));
    }
}
