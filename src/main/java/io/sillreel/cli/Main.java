package io.sillreel.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.sillreel.Controller;
import io.sillreel.http.NettyEventLoop;
import io.sillreel.http.NettyHttpClient;
import io.sillreel.http.NettyHttpServer;
import io.sillreel.limits.FleetCapacity;
import io.sillreel.limits.ProcessLimits;
import io.sillreel.settings.OperatorProperties;
import io.sillreel.settings.Settings;
import io.sillreel.settings.SettingsException;
import io.sillreel.settings.SettingsReader;
import java.io.IOException;
import java.nio.file.Path;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Option;

/** Command line of the controller daemon. */
@Command(
        name = "sillreel",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        subcommands = RecoveryCommand.class,
        description = "Runs one controller of the cluster scheduler.",
        footer = "Logs go to standard error; LOG_LEVEL sets the level (error, info, debug).")
public final class Main implements Callable<Integer> {
    private static final int EXIT_INVALID_SETTINGS = 2;
    private static final int EXIT_THREAD_DIED = 3;
    private static final int CONNECTIONS_PER_ADDRESS = 24;
    private static final int LEASE_CONNECTIONS = 2;
    /** Size limit of a batch of heartbeats, at their maximum length. */
    private static final int MAX_BATCH_BYTES = 8 * 1024 * 1024;

    /**
     * Presets for what the libraries would otherwise detect or initialize at startup, which takes seconds on a small
     * share of a core: the logging backend, the network interfaces (for a machine id that is not used), the arenas of
     * the pooled allocator, and flight recorder events.
     */
    private static final Map<String, String> LIBRARY_PROPERTIES = Map.of(
            "slf4j.provider", "org.slf4j.simple.SimpleServiceProvider",
            "slf4j.internal.verbosity", "WARN",
            "io.netty.machineId", "00:00:00:00:00:00:00:01",
            "io.netty.processId", "1",
            "io.netty.allocator.type", "unpooled",
            "io.netty.jfr.enabled", "false");

    private static final String CONFIG_OPTION = "--config";

    @Option(names = CONFIG_OPTION, paramLabel = "FILE", description = "Settings file of the platform (TOML).")
    private Path config;

    @Option(
            names = "--properties",
            paramLabel = "FILE",
            description = "Properties file of the operators (Java properties).")
    private Path properties;

    @Option(names = "--check", description = "Checks the settings and exits.")
    private boolean check;

    @Option(
            names = "--machines",
            paramLabel = "N",
            description = "With --check: also checks that the controllers can serve a fleet of N machines.")
    private int machines;

    @Option(
            names = "--tasks-per-machine",
            paramLabel = "N",
            description = "With --machines: concurrent tasks per machine (${DEFAULT-VALUE}).")
    private double tasksPerMachine = FleetCapacity.DEFAULT_TASKS_PER_MACHINE;

    @Option(
            names = "--rehearse",
            hidden = true,
            description = "Performs the training run for the class archive (used by the build).")
    private boolean rehearse;

    /** Provides the output of {@code --version}. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            return new String[] {"sillreel " + Controller.version()};
        }
    }

    /**
     * A controller whose event loop has died can't serve requests, and is restarted only after its process has ended.
     */
    private static void exitOnUncaughtException(Thread thread, Throwable error) {
        try {
            System.err.println("sillreel: thread " + thread.getName() + " died: " + error);
        } finally {
            Runtime.getRuntime().halt(EXIT_THREAD_DIED);
        }
    }

    /** Starts the daemon or runs the command given on the command line. */
    public static void main(String[] args) throws Exception {
        String level = System.getenv().getOrDefault("LOG_LEVEL", "info").toLowerCase(Locale.ROOT);
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
        for (Map.Entry<String, String> property : LIBRARY_PROPERTIES.entrySet()) {
            System.setProperty(property.getKey(), property.getValue());
        }
        Thread.setDefaultUncaughtExceptionHandler(Main::exitOnUncaughtException);
        if (System.getProperty("os.name").equals("Linux")) {
            // Without this property, the lookup of a provider opens every jar on the class path.
            System.setProperty("java.nio.channels.spi.SelectorProvider", "sun.nio.ch.EPollSelectorProvider");
        }
        if (args.length == 2 && args[0].equals(CONFIG_OPTION)) {
            // The platform's run command: building the picocli parser would be the most expensive part of startup.
            Main main = new Main();
            main.config = Path.of(args[1]);
            System.exit(main.call());
        }
        System.exit(new CommandLine(new Main()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        if (rehearse) {
            try {
                ArchiveTrainingRun.run();
            } catch (IOException e) {
                // The archive then lacks some classes, which only slows down startup.
                System.err.println("sillreel: class archive training run aborted (" + e.getMessage() + ")");
            }
            return 0;
        }
        try {
            if (config == null) {
                throw new SettingsException("--config", "is missing");
            }
            Settings settings = SettingsReader.read(config);
            OperatorProperties operatorProperties =
                    properties == null ? OperatorProperties.defaults() : OperatorProperties.read(properties);
            if (check) {
                return check(settings);
            }
            run(settings, operatorProperties).terminationFuture().await();
            return 0;
        } catch (SettingsException e) {
            System.err.println("sillreel: " + e.getMessage());
            return EXIT_INVALID_SETTINGS;
        }
    }

    /** Prints the fleet capacity for the settings, under the heap limit of this process. */
    private int check(Settings settings) {
        FleetCapacity capacity = new FleetCapacity(limits(settings));
        if (machines > capacity.maxMachines(tasksPerMachine)) {
            throw new SettingsException(
                    "params.resources",
                    "carry no fleet of " + machines + " machines, but " + capacity.describe(tasksPerMachine));
        }
        System.out.println("settings are good: " + settings.nodeName() + " in "
                + settings.localController().area() + ", for " + capacity.describe(tasksPerMachine));
        return 0;
    }

    private static ProcessLimits limits(Settings settings) {
        return ProcessLimits.of(settings, Runtime.getRuntime().maxMemory());
    }

    /** Starts a controller on a single event loop. */
    static EventLoopGroup run(Settings settings, OperatorProperties operatorProperties) {
        LoggerFactory.getLogger(Main.class)
                .info(
                        "starting {} in area {}, version {}, at {} UTC",
                        settings.nodeName(),
                        settings.localController().area(),
                        Controller.version(),
                        LocalDateTime.now(ZoneOffset.UTC));
        ProcessLimits limits = limits(settings);
        EventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("loop"), NioIoHandler.newFactory());
        NettyEventLoop loop = new NettyEventLoop(group.next());
        NettyHttpClient client = new NettyHttpClient(group.next(), CONNECTIONS_PER_ADDRESS, limits.maxResponseBytes());
        NettyHttpClient leaseClient = new NettyHttpClient(group.next(), LEASE_CONNECTIONS, limits.maxResponseBytes());
        Controller controller = new Controller(loop, client, leaseClient, settings, operatorProperties, limits);
        NettyHttpServer publicServer = new NettyHttpServer(
                loop,
                NettyHttpServer.MAX_BODY_BYTES,
                limits.maxPublicConnections(),
                Controller::requestClass,
                controller.requestQueue(),
                limits.maxWorkerConnections());
        new NettyHttpServer(loop, MAX_BATCH_BYTES, limits.maxInternalConnections())
                .listen(settings.localController().internalAddress(), controller::handleInternal);
        loop.execute(() -> controller.start(() -> publicServer
                .bind(settings.localController().publicAddress(), controller::handlePublic)
                .addListener(bound -> {
                    if (!bound.isSuccess()) {
                        System.err.println("sillreel: public_addr: can't be listened on: "
                                + bound.cause().getMessage());
                        System.exit(EXIT_INVALID_SETTINGS);
                    }
                })));
        return group;
    }
}
