package dockshed;

import dockshed.config.Config;
import dockshed.config.Fields;
import dockshed.config.HlsConfig;
import dockshed.simhost.SimHost;
import java.nio.file.Path;

/** Command line: the broker, the module alone behind the simulator's wire, or a rehearsal for the build. */
public final class Main {
    private Main() { }

    public static void main(String[] args) {
        String mode = args.length == 0 ? "" : args[0];
        if (mode.equals("simhost") && args.length == 1) {
            System.exit(SimHost.run(System.in, System.out, System.err));
        }
        if (mode.equals("rehearse") && args.length == 2) {
            try {
                Rehearsal.play(Path.of(args[1]));
                System.exit(0);
            } catch (Exception e) {
                System.err.println("dockshed: not rehearsed: " + e);
                Runtime.getRuntime().halt(1);       // a planned end would end it with 0
            }
        }
        boolean hls = args.length == 3 && args[1].equals("--hls");
        if (!mode.equals("serve") || args.length != 1 && !hls) {
            System.err.println("usage: java -jar dockshed.jar serve [--hls FILE] | simhost | rehearse FILE");
            System.exit(2);
        }
        try {
            Wiring.start(Config.load(System.getenv()), hls ? HlsConfig.load(args[2]) : null);
        } catch (Fields.Malformed e) {
            System.err.println("dockshed: " + e.getMessage());
            System.exit(2);
        } catch (Exception e) {         // a failed bind comes as a checked exception that nothing declares
            System.err.println("dockshed: cannot serve: " + e);
            System.exit(1);
        }
    }
}
