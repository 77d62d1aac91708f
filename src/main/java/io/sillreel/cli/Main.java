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

/** The daemon's command line. */
@Command(
        name = "sillreel",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        subcommands = RecoveryCommand.class,
        description = "Runs one controller of the cluster scheduler.",
        footer = "Logs go to standard error; LOG_LEVEL sets how much (error, info, debug).")
public final class Main implements Callable<Integer> {
    private static final int EXIT_INVALID_SETTINGS = 2;
    private static final int EXIT_THREAD_DIED = 3;
    private static final int CONNECTIONS_PER_ADDRESS = 24;
    private static final int LEASE_CONNECTIONS = 2;
    /** What a batch of the longest reports may take. */
    private static final int MAX_BATCH_BYTES = 8 * 1024 * 1024;

    /**
     * What the libraries would else find out at a start, which at a small share of a core takes seconds: the logger's
     * backend, the host's network cards for an id that nobody uses, an allocator's arenas and flight recordings.
     */
    private static final Map<String, String> LIBRARY_PROPERTIES = Map.of(
            "slf4j.provider", "org.slf4j.simple.SimpleServiceProvider",
            "slf4j.internal.verbosity", "WARN",
            "io.netty.machineId", "00:00:00:00:00:00:00:01",
            "io.netty.processId", "1",
            "io.netty.allocator.type", "unpooled",
            "io.netty.jfr.enabled", "false");

    private static final String CONFIG_OPTION = "--config";

    @Option(names = CONFIG_OPTION, paramLabel = "FILE", description = "The platform's settings (TOML).")
    private Path config;

    @Option(names = "--properties", paramLabel = "FILE", description = "The operators' own settings (Java properties).")
    private Path properties;

    @Option(names = "--check", description = "Checks the settings and ends.")
    private boolean check;

    @Option(
            names = "--machines",
            paramLabel = "N",
            description = "With --check: whether the controllers carry a fleet of N machines.")
    private int machines;

    @Option(
            names = "--tasks-per-machine",
            paramLabel = "N",
            description = "With --machines: how many tasks run on a machine at once (${DEFAULT-VALUE}).")
    private double tasksPerMachine = FleetCapacity.DEFAULT_TASKS_PER_MACHINE;

    @Option(names = "--rehearse", hidden = true, description = "Starts, talks to itself and ends (used by the build).")
    private boolean rehearse;

    /** What {@code --version} says. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            return new String[] {"sillreel " + Controller.version()};
        }
    }

    /** A controller whose event loop has died serves nobody, and is only started again once its process has ended. */
    private static void exitOnUncaughtException(Thread thread, Throwable error) {
        try {
            System.err.println("sillreel: thread " + thread.getName() + " ended: " + error);
        } finally {
            Runtime.getRuntime().halt(EXIT_THREAD_DIED);
        }
    }

    /** Runs the daemon, or does what the command line asks for instead. */
    public static void main(String[] args) throws Exception {
        String level = System.getenv().getOrDefault("LOG_LEVEL", "info").toLowerCase(Locale.ROOT);
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
        for (Map.Entry<String, String> property : LIBRARY_PROPERTIES.entrySet()) {
            System.setProperty(property.getKey(), property.getValue());
        }
        Thread.setDefaultUncaughtExceptionHandler(Main::exitOnUncaughtException);
        if (System.getProperty("os.name").equals("Linux")) {
            // Else every archive of the class path is opened to look for another one.
            System.setProperty("java.nio.channels.spi.SelectorProvider", "sun.nio.ch.EPollSelectorProvider");
        }
        if (args.length == 2 && args[0].equals(CONFIG_OPTION)) {
            // As the platform starts it: building the parser would be the costliest part of a start.
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
                // The archive then lacks some classes, which makes starts slower and nothing else.
                System.err.println("sillreel: the rehearsal ended early (" + e.getMessage() + ")");
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

    /** Says what the settings allow, under the heap of this very process. */
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

    /** Starts a controller on one event loop. */
    static EventLoopGroup run(Settings settings, OperatorProperties operatorProperties) {
        LoggerFactory.getLogger(Main.class)
                .info(
                        "{} in {} starts, version {}, {} UTC",
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
                group,
                NettyHttpServer.MAX_BODY_BYTES,
                limits.maxPublicConnections(),
                Controller::requestClass,
                controller.requestQueue(),
                limits.maxWorkerConnections());
        new NettyHttpServer(group, MAX_BATCH_BYTES, limits.maxInternalConnections())
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
