package dockshed;

import dockshed.config.Config;
import dockshed.config.HlsConfig;
import dockshed.config.JsonFields;
import dockshed.config.OperatorConfig;
import dockshed.net.Signals;
import dockshed.simhost.SimHost;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Command line: the broker, the decision module alone behind the simulator's protocol, or a training run of the build.
 */
public final class Main {
    private Main() {}

    /**
     * Runs the sub-command; exits with 1 after a failure and with 2 after wrong arguments or a faulty configuration.
     */
    public static void main(String[] args) {
        String mode = args.length == 0 ? "" : args[0];
        if (mode.equals("simhost") && args.length == 1) {
            System.exit(SimHost.run(System.in, System.out, System.err));
        }
        if (mode.equals("rehearse") && args.length == 2) {
            try {
                ArchiveTraining.run(Path.of(args[1]));
                System.exit(0);
            } catch (Exception e) {
                System.err.println("dockshed: rehearsal failed: " + e);
                Runtime.getRuntime().halt(1); // the shutdown hook would exit with 0
            }
        }
        Map<String, String> files = new HashMap<>();
        for (int i = 1; i + 1 < args.length; i += 2) {
            files.put(args[i], args[i + 1]);
        }
        if (!mode.equals("serve")
                || args.length != 1 + 2 * files.size()
                || !Set.of("--hls", "--conf").containsAll(files.keySet())) {
            System.err.println(
                    "usage: java -jar dockshed.jar serve [--hls FILE] [--conf FILE] | simhost | rehearse FILE");
            System.exit(2);
        }
        Signals.captureHangUps();
        try {
            Config config = Config.load(System.getenv());
            Wiring.start(
                    config,
                    files.containsKey("--hls") ? HlsConfig.load(files.get("--hls")) : null,
                    files.containsKey("--conf")
                            ? OperatorConfig.load(
                                    files.get("--conf"), config.peers().size())
                            : OperatorConfig.NONE);
        } catch (JsonFields.InvalidInputException e) {
            System.err.println("dockshed: " + e.getMessage());
            System.exit(2);
        } catch (Exception e) { // a failed bind throws a checked exception that is not declared
            System.err.println("dockshed: cannot serve: " + e);
            System.exit(1);
        }
    }
}
