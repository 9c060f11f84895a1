package dockshed;

import dockshed.config.Config;
import dockshed.config.Fields;
import dockshed.config.HlsConfig;
import dockshed.simhost.SimHost;

/** Command line: the broker, or the module alone behind the simulator's wire. */
public final class Main {
    private Main() { }

    public static void main(String[] args) {
        String mode = args.length == 0 ? "" : args[0];
        if (mode.equals("simhost") && args.length == 1) {
            System.exit(SimHost.run(System.in, System.out, System.err));
        }
        boolean hls = args.length == 3 && args[1].equals("--hls");
        if (!mode.equals("serve") || args.length != 1 && !hls) {
            System.err.println("usage: java -jar dockshed.jar serve [--hls FILE] | simhost");
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
