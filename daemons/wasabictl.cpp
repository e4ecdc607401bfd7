// Command-line tool for operators: checks, compiles, compares and explains the source of a configuration; shows the
// status of daemons, whether evacuations are in force, and where an entry would place a flow.
#include "backends/EvacuationStatus.h"
#include "backends/PublishedDirectory.h"
#include "wasabicroft/ConfigSource.h"
#include "wasabicroft/Packet.h"
#include "wasabicroft/Settings.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace wasabicroft {
namespace {

    namespace beast = boost::beast;
    namespace http = beast::http;
    namespace json = boost::json;

    const std::string usage = R"(Checks, compiles, compares and explains configurations; shows the state of daemons.

Usage:
  wasabictl check BASE [OVERLAY...]
  wasabictl compile --out DIR [--config-version N] [--epoch N] BASE [OVERLAY...]
  wasabictl diff OLD NEW
  wasabictl explain BASE <overlay-or-path>...
  wasabictl status [--json] ENDPOINT...
  wasabictl evacuation ENDPOINT...
  wasabictl explain-flow [--json] ENDPOINT CLIENT ROUTE

Commands:
  check    Reports every problem of a base file with overlays.
  compile  Writes the published values of a valid source into a directory, the manifest last.
  diff     Lists the values that differ. OLD and NEW are compiled directories or sources; a source is the base file and
           its overlays, separated by commas.
  explain  Shows the values at or below a path (the last argument, for example services/label-print/slots) with the
           file and line that set them.
  status   Shows what the operator endpoints of daemons (IP:PORT) report.
  evacuation
           Shows for each evacuated failure domain at which of these packet entries and agents the order is in force, at
           which positions of the store, at which entries it is unconfirmed, and which entries still offer flows there.
           Exit code 1: there is no order, or one is not in force everywhere.
  explain-flow
           Shows where a packet entry, named by its operator endpoint, would place a new flow from CLIENT to ROUTE (both
           IP:PORT) now, and why. Sends no packet and changes nothing.

Options:
  --out DIR           Directory of the published values.
  --config-version N  Version to publish. By default 1 more than the version in DIR if anything changed.
  --epoch N           Epoch to publish. By default that of DIR, or 1. Raise it only to rebuild from scratch.
  --json              Prints JSON.
  --help              Shows this text.
  --version           Shows the version of the program.

Exit codes: 0 success, 1 refused input, 2 wrong usage, 3 a daemon is unreachable.
)";

    constexpr std::chrono::seconds statusTimeout { 3 };
    constexpr uint64_t maxStatusBytes = 16 * 1024 * 1024;

    std::vector<std::string> split(const std::string& text, char separator)
    {
        std::vector<std::string> parts;
        std::istringstream stream(text);
        std::string part;
        while (std::getline(stream, part, separator))
            parts.push_back(part);
        return parts;
    }

    //-------------------------------------------------------------------------
    // Sources
    //-------------------------------------------------------------------------

    // Reads and parses a base file and its overlays; errors include files that can't be read.
    ConfigSource loadSource(const std::vector<std::string>& names)
    {
        std::vector<SourceFile> files;
        ConfigSource readFailures;
        for (const std::string& name : names) {
            std::ifstream file(name, std::ios::binary);
            std::ostringstream text;
            text << file.rdbuf();
            if (!file || !text)
                readFailures.errors.push_back(
                    { ErrorKind::SystemCall, name + ": cannot be read; name a file that exists and is readable" });
            files.push_back({ name, text.str() });
        }
        if (!readFailures.errors.empty())
            return readFailures;
        return parseSource(files.front(), { files.begin() + 1, files.end() });
    }

    std::vector<std::string> sourceNames(const Flags& flags)
    {
        std::vector<std::string> names = { flags.at("BASE") };
        const auto overlays = flags.find("OVERLAY");
        if (overlays != flags.end()) {
            for (const std::string& name : split(overlays->second, '\n'))
                names.push_back(name);
        }
        return names;
    }

    int check(const Flags& flags)
    {
        const ConfigSource source = loadSource(sourceNames(flags));
        printErrors(source.errors);
        if (!source.errors.empty())
            return exit_codes::invalidInput;
        size_t upstreams = 0;
        for (const ServiceConfig& service : source.services)
            upstreams += service.upstreams.size();
        std::cout << "valid: " << source.services.size() << " services, " << upstreams << " upstreams\n";
        return exit_codes::success;
    }

    // Reads the manifest of a directory; empty if there is none.
    Result<std::optional<Manifest>> readExistingManifest(const std::string& directory)
    {
        if (!std::filesystem::exists(std::filesystem::path(directory) / "manifest.json"))
            return std::optional<Manifest>();
        const Result<PublishedConfig> existing = readPublishedDirectory(directory);
        if (!existing)
            return existing.error();
        const Result<Manifest> manifest = decodeManifest(existing.value().manifest);
        if (!manifest)
            return Error { ErrorKind::InvalidConfig,
                directory + " holds an invalid manifest, so the next version is unknown; restore it or compile into an "
                    + "empty directory with --config-version" };
        return std::optional<Manifest>(manifest.value());
    }

    int compile(const Flags& flags)
    {
        SettingsReader settings(flags, "WASABICTL");
        const std::string directory = settings.requiredText("--out");
        const Result<std::optional<Manifest>> found = readExistingManifest(directory);
        if (!found) {
            printErrors({ found.error() });
            return exit_codes::invalidInput;
        }
        const std::optional<Manifest>& existing = found.value();
        const uint64_t epoch = settings.number("--epoch", existing ? existing->epoch : 1, 0, UINT64_MAX);
        const uint64_t requestedVersion = settings.number("--config-version", 0, 1, UINT64_MAX);
        if (!settings.errors().empty()) {
            printErrors(settings.errors());
            return exit_codes::usageError;
        }
        const ConfigSource source = loadSource(sourceNames(flags));
        if (!source.errors.empty()) {
            printErrors(source.errors);
            return exit_codes::invalidInput;
        }
        uint64_t version = requestedVersion ? requestedVersion : 1;
        if (!requestedVersion && existing && existing->epoch == epoch) {
            const std::string unchangedManifest = encodeConfig(epoch, existing->version, source.services).manifest;
            version = unchangedManifest == encodeManifest(*existing) ? existing->version : existing->version + 1;
        }
        if (existing && (epoch < existing->epoch || (epoch == existing->epoch && version < existing->version))) {
            printErrors({ { ErrorKind::InvalidConfig,
                directory + " holds epoch " + std::to_string(existing->epoch) + ", version "
                    + std::to_string(existing->version)
                    + ", and processes ignore older ones; compile a higher version" } });
            return exit_codes::invalidInput;
        }
        const PublishedConfig published = encodeConfig(epoch, version, source.services);
        const Result<std::shared_ptr<const Snapshot>> checked = parseSnapshot(published.manifest, published.values);
        const Result<bool> written = checked ? writePublishedDirectory(directory, published) : checked.error();
        if (!written) {
            printErrors({ written.error() });
            return exit_codes::invalidInput;
        }
        std::cout << "epoch " << epoch << ", version " << version << ", " << published.values.size() << " services in "
                  << directory << '\n';
        return exit_codes::success;
    }

    //-------------------------------------------------------------------------
    // Comparison and explanation
    //-------------------------------------------------------------------------

    // Loads the services of a compiled directory or of a source; prints errors.
    std::optional<std::vector<ServiceConfig>> loadServices(const std::string& name)
    {
        if (!std::filesystem::is_directory(name)) {
            const ConfigSource source = loadSource(split(name, ','));
            printErrors(source.errors);
            return source.errors.empty() ? std::optional(source.services) : std::nullopt;
        }
        const Result<PublishedConfig> published = readPublishedDirectory(name);
        if (!published) {
            printErrors({ published.error() });
            return std::nullopt;
        }
        const Result<std::shared_ptr<const Snapshot>> snapshot
            = parseSnapshot(published.value().manifest, published.value().values);
        if (!snapshot) {
            printErrors({ { snapshot.error().kind, name + ": " + snapshot.error().message } });
            return std::nullopt;
        }
        return snapshot.value()->services;
    }

    std::map<std::string, std::string> flattenAll(const std::vector<ServiceConfig>& services)
    {
        std::map<std::string, std::string> values;
        for (const ServiceConfig& service : services)
            values.merge(flatten(service));
        return values;
    }

    int diff(const Flags& flags)
    {
        const std::optional<std::vector<ServiceConfig>> oldServices = loadServices(flags.at("OLD"));
        const std::optional<std::vector<ServiceConfig>> newServices = loadServices(flags.at("NEW"));
        if (!oldServices || !newServices)
            return exit_codes::invalidInput;
        const std::map<std::string, std::string> before = flattenAll(*oldServices);
        const std::map<std::string, std::string> after = flattenAll(*newServices);
        std::map<std::string, std::string> all = before;
        all.insert(after.begin(), after.end());
        size_t differences = 0;
        for (const auto& [path, text] : all) {
            const auto left = before.find(path);
            const auto right = after.find(path);
            if (left != before.end() && right != after.end() && left->second == right->second)
                continue;
            ++differences;
            if (left == before.end())
                std::cout << "+ " << path << ": " << text << '\n';
            else if (right == after.end())
                std::cout << "- " << path << ": " << text << '\n';
            else
                std::cout << "~ " << path << ": " << left->second << " -> " << right->second << '\n';
        }
        std::cout << differences << " values differ\n";
        return exit_codes::success;
    }

    int explain(const Flags& flags)
    {
        std::vector<std::string> names = split(flags.at("<overlay-or-path>"), '\n');
        const std::string path = names.back();
        names.back() = flags.at("BASE");
        std::rotate(names.begin(), names.end() - 1, names.end());
        const ConfigSource source = loadSource(names);
        printErrors(source.errors);
        if (!source.errors.empty())
            return exit_codes::invalidInput;
        const std::vector<Explanation> explanations = source.explain(path);
        if (explanations.empty()) {
            printErrors({ { ErrorKind::InvalidConfig,
                "there is no value at '" + path + "'; name a path such as services/NAME or services/NAME/slots" } });
            return exit_codes::invalidInput;
        }
        for (const Explanation& explanation : explanations) {
            std::cout << explanation.path << ": " << explanation.text << "  # " << toString(explanation.origin);
            for (const SourceValue& earlier : explanation.overridden)
                std::cout << ", overrides " << earlier.text << " of " << toString(earlier.origin);
            std::cout << '\n';
        }
        return exit_codes::success;
    }

    //-------------------------------------------------------------------------
    // Status
    //-------------------------------------------------------------------------

    Error unreachable(const Endpoint& endpoint, const std::string& reason)
    {
        return { ErrorKind::Unreachable,
            toString(endpoint) + ": " + reason + "; check that the daemon runs and that this is its operator address" };
    }

    using Response = http::response<http::string_body>;

    Result<Response> fetch(const Endpoint& endpoint, const std::string& target)
    {
        boost::asio::io_context context;
        beast::tcp_stream stream(context);
        http::request<http::empty_body> request(http::verb::get, target, 11);
        request.set(http::field::host, toString(endpoint));
        request.set(http::field::connection, "close");
        http::response_parser<http::string_body> parser;
        parser.body_limit(maxStatusBytes);
        beast::flat_buffer buffer;
        beast::error_code result = boost::asio::error::timed_out;
        stream.expires_after(statusTimeout);
        stream.async_connect(
            { boost::asio::ip::make_address(endpoint.address), endpoint.port }, [&](beast::error_code connected) {
                result = connected;
                if (connected)
                    return;
                http::async_write(stream, request, [&](beast::error_code written, size_t) {
                    result = written;
                    if (!written)
                        http::async_read(
                            stream, buffer, parser, [&](beast::error_code read, size_t) { result = read; });
                });
            });
        context.run();
        if (result)
            return unreachable(endpoint, result.message());
        return parser.release();
    }

    // The body of a response; empty unless it is a JSON object.
    std::optional<json::object> jsonObjectOf(const Response& response)
    {
        json::error_code invalid;
        const json::value body = json::parse(response.body(), invalid);
        return invalid || !body.is_object() ? std::nullopt : std::optional(body.get_object());
    }

    // Fetches /status of one daemon.
    Result<json::object> fetchStatus(const Endpoint& endpoint)
    {
        const Result<Response> response = fetch(endpoint, "/status");
        if (!response)
            return response.error();
        if (response.value().result() != http::status::ok)
            return unreachable(endpoint, "HTTP status " + std::to_string(response.value().result_int()));
        const std::optional<json::object> status = jsonObjectOf(response.value());
        if (!status)
            return unreachable(endpoint, "the answer is not a JSON object");
        return *status;
    }

    // Formats a member of the status for the table; nested objects become "key=value,...".
    std::string cell(const json::object& status, std::string_view key)
    {
        const json::value* value = status.if_contains(key);
        if (!value || value->is_null())
            return "-";
        if (value->is_string())
            return value->get_string().empty() ? "-" : std::string(value->get_string());
        if (value->is_array())
            return std::to_string(value->get_array().size());
        if (!value->is_object())
            return json::serialize(*value);
        std::string text;
        for (const json::key_value_pair& member : value->get_object())
            text += (text.empty() ? "" : ",") + std::string(member.key()) + '='
                + cell(value->get_object(), member.key());
        return text.empty() ? "-" : text;
    }

    // "epoch.version" of the configuration in force.
    std::string versionCell(const json::object& status)
    {
        const json::value* version = status.if_contains("version");
        if (!version || !version->is_object())
            return "-";
        return cell(version->get_object(), "epoch") + '.' + cell(version->get_object(), "version");
    }

    // Load of an agent: busy slots, slots and waiting requests.
    std::string loadCell(const json::object& status)
    {
        const json::value* load = status.if_contains("load");
        if (!load || !load->is_object())
            return "-";
        const json::object& fields = load->get_object();
        return cell(fields, "busySlots") + '/' + cell(fields, "slots") + " busy, " + cell(fields, "queueLength")
            + " waiting";
    }

    std::vector<std::string> statusRow(const std::string& endpoint, const json::object& status)
    {
        return { endpoint, cell(status, "name"), cell(status, "role"), cell(status, "ready"), versionCell(status),
            cell(status, "members"), cell(status, "flows"), loadCell(status), cell(status, "lastRefusals"),
            cell(status, "cause") };
    }

    void printTable(const std::vector<std::vector<std::string>>& rows)
    {
        std::vector<size_t> widths(rows.front().size());
        for (const std::vector<std::string>& row : rows) {
            for (size_t i = 0; i < row.size(); ++i)
                widths[i] = std::max(widths[i], row[i].size());
        }
        for (const std::vector<std::string>& row : rows) {
            for (size_t i = 0; i + 1 < row.size(); ++i)
                std::cout << std::left << std::setw(static_cast<int>(widths[i]) + 2) << row[i];
            std::cout << row.back() << '\n';
        }
    }

    int status(const Flags& flags)
    {
        const std::vector<std::string> names = split(flags.at("ENDPOINT"), '\n');
        std::vector<std::vector<std::string>> rows
            = { { "endpoint", "name", "role", "ready", "version", "members", "flows", "load", "refusals", "cause" } };
        json::object all;
        std::vector<Error> errors;
        for (const std::string& name : names) {
            const Result<Endpoint> endpoint = parseEndpoint(name);
            if (!endpoint) {
                printErrors({ endpoint.error() });
                return exit_codes::usageError;
            }
            const Result<json::object> answer = fetchStatus(endpoint.value());
            if (!answer) {
                errors.push_back(answer.error());
                all[name] = nullptr;
                continue;
            }
            all[name] = answer.value();
            rows.push_back(statusRow(name, answer.value()));
        }
        if (flags.contains("--json"))
            std::cout << json::serialize(all) << '\n';
        else
            printTable(rows);
        printErrors(errors);
        return errors.empty() ? exit_codes::success : exit_codes::unreachable;
    }

    //-------------------------------------------------------------------------
    // Evacuations
    //-------------------------------------------------------------------------

    int evacuation(const Flags& flags)
    {
        std::vector<Endpoint> endpoints;
        for (const std::string& name : split(flags.at("ENDPOINT"), '\n')) {
            const Result<Endpoint> endpoint = parseEndpoint(name);
            if (!endpoint) {
                printErrors({ endpoint.error() });
                return exit_codes::usageError;
            }
            endpoints.push_back(endpoint.value());
        }
        std::vector<EvacuationReading> readings;
        std::vector<Error> unreachable;
        std::vector<Error> invalid;
        for (const Endpoint& endpoint : endpoints) {
            const Result<json::object> answer = fetchStatus(endpoint);
            if (!answer) {
                unreachable.push_back(answer.error());
                continue;
            }
            const Result<EvacuationReading> reading = readEvacuation(toString(endpoint), answer.value());
            if (reading)
                readings.push_back(reading.value());
            else
                invalid.push_back(reading.error());
        }
        const EvacuationReport report = compareEvacuations(readings);
        std::cout << toText(report);
        printErrors(unreachable);
        printErrors(invalid);
        if (!unreachable.empty())
            return exit_codes::unreachable;
        return invalid.empty() && report.isInForceEverywhere() ? exit_codes::success : exit_codes::invalidInput;
    }

    //-------------------------------------------------------------------------
    // Placement of a flow
    //-------------------------------------------------------------------------

    // Text of a member; numbers have at most two decimals.
    std::string figure(const json::object& object, std::string_view key)
    {
        const json::value* value = object.if_contains(key);
        if (!value || !value->is_double())
            return cell(object, key);
        std::ostringstream text;
        text << std::fixed << std::setprecision(2) << value->get_double();
        return text.str();
    }

    bool isSet(const json::object& object, std::string_view key)
    {
        const json::value* value = object.if_contains(key);
        return value && value->is_bool() && value->get_bool();
    }

    // Another program may answer at the endpoint, with other values.
    json::object objectOf(const json::value& value) { return value.is_object() ? value.get_object() : json::object(); }

    json::array arrayOf(const json::object& object, std::string_view key)
    {
        const json::value* value = object.if_contains(key);
        return value && value->is_array() ? value->get_array() : json::array();
    }

    // Properties of an upstream that affect its place in the order, or what excludes it.
    std::string notesOf(const json::object& upstream)
    {
        std::string notes;
        const auto add = [&](const std::string& note) { notes += (notes.empty() ? "" : ", ") + note; };
        if (upstream.contains("excludedBy"))
            add(cell(upstream, "excludedBy"));
        if (isSet(upstream, "preferredByHash"))
            add("preferred by hash");
        if (isSet(upstream, "orderIsRandom"))
            add("order among equal costs is random");
        if (isSet(upstream, "probe"))
            add("probe of a silent upstream");
        else if (isSet(upstream, "silent") && cell(upstream, "excludedBy") != "silent")
            add("silent, like too many others");
        if (isSet(upstream, "refusedLately") && cell(upstream, "excludedBy") != "refusing")
            add("refused lately, like all others");
        if (isSet(upstream, "tooLate") && cell(upstream, "excludedBy") != "too-late")
            add("answers too late");
        if (isSet(upstream, "rejoining"))
            add("rejoining");
        if (figure(upstream, "coldLeftMs") != "0")
            add("cold for " + figure(upstream, "coldLeftMs") + " ms");
        return notes.empty() ? "-" : notes;
    }

    void printUpstreams(const json::array& upstreams)
    {
        std::vector<std::vector<std::string>> rows = { { "  upstream", "agent", "domain", "cost", "utilization",
            "load-age-ms", "speed", "wait-ms", "answer-ms", "statement-age-ms", "notes" } };
        for (const json::value& item : upstreams) {
            const json::object upstream = objectOf(item);
            const bool isNamed = cell(upstream, "name") != "-";
            rows.push_back({ "  " + cell(upstream, isNamed ? "name" : "id"), cell(upstream, "agent"),
                cell(upstream, "failureDomain"), figure(upstream, "cost"), figure(upstream, "utilization"),
                figure(upstream, "loadAgeMs"), figure(upstream, "speed"), figure(upstream, "expectedWaitMs"),
                figure(upstream, "expectedAnswerMs"), figure(upstream, "performanceAgeMs"), notesOf(upstream) });
        }
        printTable(rows);
    }

    std::string outcomeText(const json::object& explained)
    {
        const std::string outcome = cell(explained, "outcome");
        if (outcome == "by-service")
            return "depends on the service, which is drawn by weight";
        std::string cause = cell(explained, "cause");
        if (cause == "-")
            return "would be " + outcome;
        std::replace(cause.begin(), cause.end(), '-', ' ');
        return "would be " + outcome + ", " + cause;
    }

    void printExplanation(const json::object& explanation)
    {
        std::cout << cell(explanation, "client") << '>' << cell(explanation, "route") << ": "
                  << outcomeText(explanation) << '\n'
                  << "route " << cell(explanation, "routeName") << ", limits " << cell(explanation, "limits")
                  << "; routes version " << cell(explanation, "routesVersion") << ", directory revision "
                  << cell(explanation, "directoryRevision")
                  << (isSet(explanation, "provisional") ? ", provisional: learned from agents\n" : "\n");
        for (const json::value& item : arrayOf(explanation, "services")) {
            const json::object service = objectOf(item);
            std::cout << "service " << cell(service, "service") << ", weight " << cell(service, "weight") << ": "
                      << outcomeText(service)
                      << (isSet(service, "admittedLate") ? ", too late at each: 1 of 10 such flows is admitted" : "")
                      << '\n';
            std::cout << "candidates, in the order in which they are asked:\n";
            printUpstreams(arrayOf(service, "candidates"));
            std::cout << "not asked:\n";
            printUpstreams(arrayOf(service, "excluded"));
        }
    }

    int explainFlow(const Flags& flags)
    {
        const Result<Endpoint> endpoint = parseEndpoint(flags.at("ENDPOINT"));
        if (!endpoint) {
            printErrors({ endpoint.error() });
            return exit_codes::usageError;
        }
        for (const std::string name : { "CLIENT", "ROUTE" }) {
            if (const std::optional<PacketAddress> address = parsePacketAddress(flags.at(name));
                !address || address->port == 0) {
                printErrors({ { ErrorKind::InvalidSetting,
                    "'" + flags.at(name) + "' is no " + name
                        + "; use IP:PORT with an IPv4 address and a port above 0" } });
                return exit_codes::invalidInput;
            }
        }
        const Result<Response> response
            = fetch(endpoint.value(), "/explain-flow?client=" + flags.at("CLIENT") + "&route=" + flags.at("ROUTE"));
        if (!response) {
            printErrors({ response.error() });
            return exit_codes::unreachable;
        }
        const http::status status = response.value().result();
        const std::optional<json::object> body = jsonObjectOf(response.value());
        const bool isExplained = status == http::status::ok || status == http::status::not_found;
        if (isExplained && body && body->contains("outcome")) {
            if (flags.contains("--json"))
                std::cout << json::serialize(*body) << '\n';
            else
                printExplanation(*body);
            return exit_codes::success;
        }
        // Programs of versions without explain-flow, and agents, do not know the path.
        if (status == http::status::not_found) {
            printErrors({ { ErrorKind::InvalidSetting,
                toString(endpoint.value())
                    + ": the entry does not know explain-flow; name an entry of this version" } });
            return exit_codes::invalidInput;
        }
        if (status == http::status::bad_request) {
            printErrors(
                { { ErrorKind::InvalidSetting, body ? cell(*body, "error") : "the entry refused the request" } });
            return exit_codes::invalidInput;
        }
        printErrors({ unreachable(endpoint.value(), "HTTP status " + std::to_string(response.value().result_int())) });
        return exit_codes::unreachable;
    }

    struct Command {
        std::string name;
        int (*run)(const Flags&);
    };

    const std::vector<Command> commands = { { "check", check }, { "compile", compile }, { "diff", diff },
        { "explain", explain }, { "status", status }, { "evacuation", evacuation }, { "explain-flow", explainFlow } };

} // namespace
} // namespace wasabicroft

int main(int argc, char** argv)
{
    const wasabicroft::Flags flags = wasabicroft::parseCommandLine(argc, argv, wasabicroft::usage, "wasabictl");
    for (const wasabicroft::Command& command : wasabicroft::commands) {
        if (flags.contains(command.name))
            return command.run(flags);
    }
    return wasabicroft::exit_codes::usageError;
}
