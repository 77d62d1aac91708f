package io.sillreel.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import io.sillreel.http.Json;
import io.sillreel.settings.Settings.CloudLimits;
import io.sillreel.settings.Settings.ExternalServices;
import io.sillreel.settings.Settings.LocalController;
import io.sillreel.settings.Settings.Member;
import io.sillreel.settings.Settings.Objective;
import io.sillreel.settings.Settings.Resources;
import io.sillreel.settings.Settings.SchedulingPolicy;
import io.sillreel.settings.Settings.StateLimits;
import io.sillreel.settings.Settings.Team;
import io.sillreel.settings.Settings.WorkerTimes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and validates the platform's settings file, which is TOML. Unknown fields are ignored. */
public final class SettingsReader {
    private static final double MICROS_PER_MILLI = 1_000;
    private static final int BYTES_PER_KB = 1024;
    /** Requests per second that a leader needs to keep its lease, which it renews every second. */
    private static final double MIN_REQUESTS = 4;
    /** Writes per second that a leader needs to keep its lease. */
    private static final double MIN_WRITES = 2;
    /** Acquiring leadership takes a transaction of two changes. */
    private static final double MIN_TRANSACTION_CHANGES = 2;
    /** Size of a submission with all its strings, or of a scale-out request for a few machines. */
    private static final double MIN_VALUE_KB = 1;
    /** Measured memory use of a process that has just started. */
    private static final double MIN_MEMORY_MB = 48;
    /** Sockets for the listeners, the controller's outgoing requests and a few users. */
    private static final double MIN_SOCKETS = 40;

    private SettingsReader() {}

    /**
     * Reads the settings file.
     *
     * @throws SettingsException naming the field that is missing or invalid
     */
    public static Settings read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new SettingsException(
                    file.toString(), "can't be read (" + e.getClass().getSimpleName() + ")");
        }
    }

    /**
     * Reads settings from TOML text.
     *
     * @throws SettingsException naming the field that is missing or invalid
     */
    public static Settings parse(String toml) {
        JsonNode root;
        try {
            root = Json.readTree(new TomlFactory().createParser(toml));
        } catch (JsonProcessingException e) {
            throw new SettingsException("settings", "not TOML: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new SettingsException(
                    "settings", "can't be read (" + e.getClass().getSimpleName() + ")");
        }
        return readSettings(new TomlTable("", root));
    }

    /** Reads the fields in the order of the file, so that the first is reported if several are invalid. */
    private static Settings readSettings(TomlTable root) {
        TomlTable params = root.table("params");
        TomlTable state = params.table("state");
        TomlTable cloud = params.table("cloud");
        TomlTable resources = params.table("resources");
        TomlTable endpoints = root.table("endpoints");

        LocalController localController = readLocalController(root);
        List<Member> members = readMembers(root);
        String cloudAddress = endpoints.hostPort("cloud");
        String stateAddress = endpoints.hostPort("state");
        // The list is required but not used: the zones of the machine types are authoritative.
        params.strings("zones");
        long clockSkewMicros = Math.round(params.nonNegative("skew_ms") * MICROS_PER_MILLI);
        SchedulingPolicy scheduling = new SchedulingPolicy(readTeams(params), readObjectives(params));
        WorkerTimes workers = readWorkerTimes(params.table("workers"));
        StateLimits stateLimits = readStateLimits(state);
        CloudLimits cloudLimits = new CloudLimits(cloud.positive("rps"), cloud.durationMicros("list_lag_s"));
        return new Settings(
                localController,
                members,
                new ExternalServices(cloudAddress, cloudLimits, stateAddress, stateLimits),
                clockSkewMicros,
                scheduling,
                workers,
                readResources(resources));
    }

    private static LocalController readLocalController(TomlTable root) {
        return new LocalController(
                root.string("node_name"),
                root.string("area"),
                parseAddress(root.hostPort("public_addr")),
                parseAddress(root.hostPort("internal_addr")));
    }

    private static Resources readResources(TomlTable resources) {
        return new Resources(resources.positive("cores"), resources.atLeast("memory_mb", MIN_MEMORY_MB), (int)
                resources.atLeast("max_sockets", MIN_SOCKETS));
    }

    private static List<Member> readMembers(TomlTable root) {
        List<Member> members = new ArrayList<>();
        for (TomlTable member : root.tables("members")) {
            members.add(new Member(member.string("node_name"), member.string("area"), member.hostPort("address")));
        }
        return List.copyOf(members);
    }

    private static Map<String, Team> readTeams(TomlTable params) {
        Map<String, Team> teams = new LinkedHashMap<>();
        for (TomlTable table : params.tables("teams")) {
            Team team = new Team(
                    table.string("name"),
                    table.nonNegativeOr("cpus", 0),
                    table.nonNegativeOr("cpus_max", 0),
                    table.nonNegativeOr("gpus", 0),
                    table.nonNegativeOr("gpus_max", 0));
            if (team.maxCpus() > 0 && team.maxCpus() < team.guaranteedCpus()) {
                throw new SettingsException(table.qualifiedName("cpus_max"), "is below cpus");
            }
            if (team.maxGpus() > 0 && team.maxGpus() < team.guaranteedGpus()) {
                throw new SettingsException(table.qualifiedName("gpus_max"), "is below gpus");
            }
            teams.put(team.name(), team);
        }
        return teams;
    }

    private static List<Objective> readObjectives(TomlTable params) {
        List<Objective> objectives = new ArrayList<>();
        for (TomlTable table : params.tables("objectives")) {
            objectives.add(new Objective(
                    table.stringOr("kind", ""),
                    table.stringOr("class", ""),
                    Math.round(table.nonNegativeOr("within_s", 0) * TomlTable.MICROS_PER_SECOND),
                    table.nonNegativeOr("share", 0)));
        }
        return List.copyOf(objectives);
    }

    private static WorkerTimes readWorkerTimes(TomlTable workers) {
        WorkerTimes times = new WorkerTimes(
                workers.durationMicros("report_s"),
                workers.durationMicros("lease_s"),
                workers.durationMicros("cancel_s"));
        if (times.leaseMicros() <= 2 * times.heartbeatIntervalMicros()) {
            throw new SettingsException(
                    workers.qualifiedName("lease_s"), "must be longer than two heartbeat intervals (report_s)");
        }
        if (times.cancelMicros() <= times.leaseMicros()) {
            throw new SettingsException(workers.qualifiedName("cancel_s"), "must be longer than lease_s");
        }
        return times;
    }

    private static StateLimits readStateLimits(TomlTable state) {
        double requestsPerSecond = state.atLeast("rps", MIN_REQUESTS);
        double writesPerSecond = state.atLeast("write_rps", MIN_WRITES);
        double valueKb = state.atLeast("value_kb", MIN_VALUE_KB);
        double maxChanges = state.atLeast("txn_ops", MIN_TRANSACTION_CHANGES);
        TomlTable next = state.tableOrEmpty("next");
        next.atLeastOr("rps", MIN_REQUESTS, requestsPerSecond);
        next.atLeastOr("write_rps", MIN_WRITES, writesPerSecond);
        double announcedKb = Math.min(valueKb, next.atLeastOr("value_kb", MIN_VALUE_KB, valueKb));
        double maxAnnouncedChanges =
                Math.min(maxChanges, next.atLeastOr("txn_ops", MIN_TRANSACTION_CHANGES, maxChanges));
        ValueLimits values = new ValueLimits((int) (valueKb * BYTES_PER_KB), (int) (announcedKb * BYTES_PER_KB));
        return new StateLimits(requestsPerSecond, writesPerSecond, values, (int) maxAnnouncedChanges);
    }

    private static InetSocketAddress parseAddress(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        return new InetSocketAddress(hostPort.substring(0, colon), Integer.parseInt(hostPort.substring(colon + 1)));
    }
}
