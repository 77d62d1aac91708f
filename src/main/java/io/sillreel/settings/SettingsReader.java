package io.sillreel.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import io.sillreel.http.Json;
import io.sillreel.settings.Settings.CloudLimits;
import io.sillreel.settings.Settings.Member;
import io.sillreel.settings.Settings.Objective;
import io.sillreel.settings.Settings.Resources;
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

/** Reads and checks the platform's TOML. Fields it does not know are ignored. */
public final class SettingsReader {
    private static final double MICROS = 1_000_000;
    private static final int BYTES_PER_KB = 1024;
    /**
     * Below these nothing could be served: a lease is taken by two changes in one transaction and renewed every second.
     */
    private static final double MIN_REQUESTS = 4;

    private static final double MIN_WRITES = 2;
    private static final double MIN_OPS = 2;
    /** A submission with all its texts, or a rental of a few machines. */
    private static final double MIN_VALUE_KB = 1;
    /**
     * What a process holds that has only started, measured, and sockets for its listeners, its own calls and a few
     * users.
     */
    private static final double MIN_MEMORY_MB = 48;

    private static final double MIN_SOCKETS = 40;

    private SettingsReader() {}

    /**
     * Reads the settings file.
     *
     * @throws SettingsException naming the field that is missing or impossible
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
     * @throws SettingsException naming the field that is missing or impossible
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
        return settings(new Section("", root));
    }

    private static Settings settings(Section root) {
        Section params = root.section("params");
        Section state = params.section("state");
        Section cloud = params.section("cloud");
        Section resources = params.section("resources");
        Section endpoints = root.section("endpoints");

        return new Settings(
                root.text("node_name"),
                root.text("area"),
                address(root.hostPort("public_addr")),
                address(root.hostPort("internal_addr")),
                members(root),
                endpoints.hostPort("cloud"),
                endpoints.hostPort("state"),
                params.texts("zones"),
                Math.round(params.amount("skew_ms") * 1_000),
                teams(params),
                objectives(params),
                workerTimes(params.section("workers")),
                limits(state),
                new CloudLimits(cloud.positive("rps"), cloud.micros("list_lag_s")),
                new Resources(resources.positive("cores"), resources.atLeast("memory_mb", MIN_MEMORY_MB), (int)
                        resources.atLeast("max_sockets", MIN_SOCKETS)));
    }

    private static List<Member> members(Section root) {
        List<Member> members = new ArrayList<>();
        for (Section member : root.list("members")) {
            members.add(new Member(member.text("node_name"), member.text("area"), member.hostPort("address")));
        }
        return List.copyOf(members);
    }

    private static Map<String, Team> teams(Section params) {
        Map<String, Team> teams = new LinkedHashMap<>();
        for (Section section : params.list("teams")) {
            Team team = new Team(
                    section.text("name"),
                    section.amountOr("cpus", 0),
                    section.amountOr("cpus_max", 0),
                    section.amountOr("gpus", 0),
                    section.amountOr("gpus_max", 0));
            if (team.maxCpus() > 0 && team.maxCpus() < team.guaranteedCpus()) {
                throw new SettingsException(section.name("cpus_max"), "is below cpus");
            }
            if (team.maxGpus() > 0 && team.maxGpus() < team.guaranteedGpus()) {
                throw new SettingsException(section.name("gpus_max"), "is below gpus");
            }
            teams.put(team.name(), team);
        }
        return teams;
    }

    private static List<Objective> objectives(Section params) {
        List<Objective> objectives = new ArrayList<>();
        for (Section section : params.list("objectives")) {
            objectives.add(new Objective(
                    section.textOr("kind", ""),
                    section.textOr("class", ""),
                    Math.round(section.amountOr("within_s", 0) * MICROS),
                    section.amountOr("share", 0)));
        }
        return List.copyOf(objectives);
    }

    private static WorkerTimes workerTimes(Section workers) {
        WorkerTimes times =
                new WorkerTimes(workers.micros("report_s"), workers.micros("lease_s"), workers.micros("cancel_s"));
        if (times.leaseMicros() <= 2 * times.heartbeatIntervalMicros()) {
            throw new SettingsException(workers.name("lease_s"), "must be more than two reports long");
        }
        if (times.cancelMicros() <= times.leaseMicros()) {
            throw new SettingsException(workers.name("cancel_s"), "must be longer than lease_s");
        }
        return times;
    }

    private static StateLimits limits(Section state) {
        double requests = state.atLeast("rps", MIN_REQUESTS);
        double writes = state.atLeast("write_rps", MIN_WRITES);
        double valueKb = state.atLeast("value_kb", MIN_VALUE_KB);
        double txnOps = state.atLeast("txn_ops", MIN_OPS);
        Section next = state.sectionOr("next");
        next.atLeastOr("rps", MIN_REQUESTS, requests);
        next.atLeastOr("write_rps", MIN_WRITES, writes);
        double announcedKb = Math.min(valueKb, next.atLeastOr("value_kb", MIN_VALUE_KB, valueKb));
        double announcedOps = Math.min(txnOps, next.atLeastOr("txn_ops", MIN_OPS, txnOps));
        ValueLimits values = new ValueLimits((int) (valueKb * BYTES_PER_KB), (int) (announcedKb * BYTES_PER_KB));
        return new StateLimits(requests, writes, values, (int) announcedOps);
    }

    private static InetSocketAddress address(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        return new InetSocketAddress(hostPort.substring(0, colon), Integer.parseInt(hostPort.substring(colon + 1)));
    }

    /** One table of the file, which knows its own name for the sake of the messages. */
    private record Section(String path, JsonNode node) {
        String name(String field) {
            return path.isEmpty() ? field : path + "." + field;
        }

        private JsonNode required(String field) {
            JsonNode value = node.path(field);
            if (value.isMissingNode() || value.isNull()) {
                throw new SettingsException(name(field), "is missing");
            }
            return value;
        }

        Section section(String field) {
            JsonNode value = required(field);
            if (!value.isObject()) {
                throw new SettingsException(name(field), "is not a table");
            }
            return new Section(name(field), value);
        }

        /** The table, or an empty one if there is none. */
        Section sectionOr(String field) {
            return node.hasNonNull(field) ? section(field) : new Section(name(field), MissingNode.getInstance());
        }

        List<Section> list(String field) {
            JsonNode value = node.path(field);
            List<Section> sections = new ArrayList<>();
            if (value.isMissingNode() || value.isNull()) {
                return sections;
            }
            if (!value.isArray()) {
                throw new SettingsException(name(field), "is not a list of tables");
            }
            for (JsonNode element : value) {
                sections.add(new Section(name(field) + "[" + sections.size() + "]", element));
            }
            return sections;
        }

        List<String> texts(String field) {
            JsonNode value = required(field);
            if (!value.isArray()) {
                throw new SettingsException(name(field), "is not a list");
            }
            List<String> texts = new ArrayList<>();
            value.forEach(element -> texts.add(element.asText()));
            return List.copyOf(texts);
        }

        String text(String field) {
            JsonNode value = required(field);
            if (!value.isTextual() || value.asText().isBlank()) {
                throw new SettingsException(name(field), "is not a text");
            }
            return value.asText();
        }

        String textOr(String field, String otherwise) {
            return node.path(field).asText(otherwise);
        }

        String hostPort(String field) {
            String value = text(field);
            int colon = value.lastIndexOf(':');
            try {
                int port = colon < 1 ? -1 : Integer.parseInt(value.substring(colon + 1));
                if (port >= 0 && port <= 65_535) {
                    return value;
                }
            } catch (NumberFormatException e) {
                // falls through to the one message for every malformed address
            }
            throw new SettingsException(name(field), "is not host:port");
        }

        double amount(String field) {
            JsonNode value = required(field);
            if (!value.isNumber() || !Double.isFinite(value.asDouble()) || value.asDouble() < 0) {
                throw new SettingsException(
                        name(field), "is " + value.asText() + ", and a number of at least 0 is needed");
            }
            return value.asDouble();
        }

        double amountOr(String field, double otherwise) {
            return node.hasNonNull(field) ? amount(field) : otherwise;
        }

        double positive(String field) {
            double value = amount(field);
            if (value <= 0) {
                throw new SettingsException(name(field), "is " + value + ", and more than 0 is needed");
            }
            return value;
        }

        double atLeast(String field, double least) {
            double value = amount(field);
            if (value < least) {
                throw new SettingsException(name(field), "is " + value + ", and at least " + least + " is needed");
            }
            return value;
        }

        double atLeastOr(String field, double least, double otherwise) {
            return node.hasNonNull(field) ? atLeast(field, least) : otherwise;
        }

        long micros(String field) {
            return Math.round(positive(field) * MICROS);
        }
    }
}
