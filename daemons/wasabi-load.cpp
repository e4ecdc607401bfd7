// Load generator that verifies every answer; see fakes/Load.h.
#include "fakes/Load.h"

#include "wasabicroft/Settings.h"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace {

using namespace wasabicroft; // NOLINT(google-build-using-namespace)
using namespace wasabicroft::fakes; // NOLINT(google-build-using-namespace)

const char* const usage
    = R"(Sends feeds, registrations, downloads and uploads, and checks that no feed breaks, that every registration ran at
most once and every answer belongs to its request. Upstreams must speak the protocol of fake-upstream. An answer with
status 503 and the header X-Not-Run: 1, from an upstream or as the refusal of a load balancer, states that nothing ran.
Exit code 1 means that a guarantee was violated.

Usage:
  wasabi-load [options]

Options:
  --feeds=N                    Number of open feeds [default: 0].
  --feed-addresses=LIST        Comma-separated addresses; each flow takes one at random.
  --registrations=N            Registrations per second [default: 0].
  --registration-addresses=LIST
  --service=NAME               Service of feeds and registrations [default: service].
  --downloads=N                Downloads per minute [default: 0].
  --download-addresses=LIST
  --uploads=N                  Uploads per minute [default: 0].
  --upload-addresses=LIST
  --bulk-service=NAME          Service of downloads and uploads; the same as --service by default.
  --bytes=N                    Size of a download or an upload [default: 1000000].
  --admins=LIST                Admin ports of all upstreams, for ledgers and busy times.
  --work-ms=N                  Work time of a registration [default: 50].
  --straggler-one-in=N         One registration in N is a straggler; 0: none [default: 0].
  --straggler-factor=N         A straggler takes N times longer [default: 30].
  --swing-percent=N            Rate at the peak in percent of the base rate [default: 100].
  --swing-begin-ms=N           Start of the rise [default: 0].
  --swing-rise-ms=N            Duration of the rise and of the fall [default: 2000].
  --swing-hold-ms=N            Duration of the peak [default: 10000].
  --duration-ms=N              Duration of the run [default: 10000].
  --timeout-ms=N               Timeout of a request [default: 10000].
  --deadline-ms=N              Deadline sent with a registration; 0: none [default: 0].
  --window-ms=N                Window over which the imbalance is measured [default: 10000].
  --actions=LIST               Comma-separated MILLISECONDS:PATH:ADDRESS; a POST at that time, for example
                               5000:/drain:127.0.0.1:9001.
  --seed=N                     Seed of arrivals, stragglers and addresses [default: 1].
  --json                       Print JSON instead of a table.
  --report=DIR                 Write DIR/index.html and DIR/report.json.
  --title=TEXT                 Title of the page [default: wasabi-load].
  -h --help                    Show this text.
  --version                    Show the version.
)";

constexpr int violationsFound = 1; // Exit code.
constexpr uint64_t maxCount = 1'000'000'000;

double readSeconds(SettingsReader& settings, const char* flag, Milliseconds defaultValue)
{
    const Milliseconds value = settings.duration(flag, defaultValue, Milliseconds(0), std::chrono::hours(24));
    return static_cast<double>(value.count()) / 1000;
}

LoadTarget readTarget(SettingsReader& settings, const std::string& kind, const std::string& service, double perSecond)
{
    LoadTarget target;
    target.addresses = settings.endpoints("--" + kind + "-addresses");
    target.service = service;
    target.rate = static_cast<double>(settings.number("--" + kind + "s", 0, 0, maxCount)) * perSecond;
    target.bytes = settings.number("--bytes", 1000000, 0, maxCount);
    return target;
}

// Parses an action, for example "5000:/drain:127.0.0.1:9001".
Result<LoadAction> parseAction(const std::string& text)
{
    const size_t first = text.find(':');
    const size_t second = first == std::string::npos ? first : text.find(':', first + 1);
    const Result<Endpoint> admin = parseEndpoint(second == std::string::npos ? "" : text.substr(second + 1));
    if (!admin)
        return Error { ErrorKind::InvalidSetting,
            "--actions has '" + text + "'; write MILLISECONDS:PATH:ADDRESS, for example 5000:/cut:127.0.0.1:9001" };
    return LoadAction { std::strtod(text.c_str(), nullptr) / 1000, text.substr(first + 1, second - first - 1),
        admin.value() };
}

LoadOptions readOptions(SettingsReader& settings, std::vector<Error>& errors)
{
    constexpr double perMinute = 1.0 / 60;
    LoadOptions options;
    const std::string service = settings.text("--service", "service");
    const std::string bulkService = settings.text("--bulk-service", service);
    options.targetFor(LoadKind::Feed) = readTarget(settings, "feed", service, 1);
    options.targetFor(LoadKind::Registration) = readTarget(settings, "registration", service, 1);
    options.targetFor(LoadKind::Download) = readTarget(settings, "download", bulkService, perMinute);
    options.targetFor(LoadKind::Upload) = readTarget(settings, "upload", bulkService, perMinute);
    options.upstreamAdmins = settings.endpoints("--admins");
    options.workTime = settings.duration("--work-ms", options.workTime, Milliseconds(0), std::chrono::minutes(1));
    options.stragglerOneIn = static_cast<uint32_t>(settings.number("--straggler-one-in", 0, 0, 1000000));
    options.stragglerFactor = static_cast<uint32_t>(settings.number("--straggler-factor", 30, 1, 1000));
    options.swing.factor = static_cast<double>(settings.number("--swing-percent", 100, 0, 100000)) / 100;
    options.swing.begin = readSeconds(settings, "--swing-begin-ms", Milliseconds(0));
    options.swing.rise = std::max(0.001, readSeconds(settings, "--swing-rise-ms", Milliseconds(2000)));
    options.swing.hold = readSeconds(settings, "--swing-hold-ms", Milliseconds(10000));
    options.seconds = readSeconds(settings, "--duration-ms", Milliseconds(10000));
    options.timeout = settings.duration("--timeout-ms", options.timeout, Milliseconds(1), std::chrono::hours(1));
    options.deadline = settings.duration("--deadline-ms", options.deadline, Milliseconds(0), std::chrono::hours(1));
    options.imbalanceWindowSeconds = std::max(0.1, readSeconds(settings, "--window-ms", Milliseconds(10000)));
    options.seed = settings.number("--seed", 1, 0, UINT64_MAX);
    for (const std::string& text : settings.list("--actions")) {
        const Result<LoadAction> action = parseAction(text);
        if (action)
            options.actions.push_back(action.value());
        else
            errors.push_back(action.error());
    }
    errors.insert(errors.end(), settings.errors().begin(), settings.errors().end());
    return options;
}

bool writeReport(const std::string& directory, const LoadReport& report, const std::string& title)
{
    std::error_code error;
    std::filesystem::create_directories(directory, error);
    std::ofstream page(std::filesystem::path(directory) / "index.html");
    std::ofstream json(std::filesystem::path(directory) / "report.json");
    page << reportPage(report, title);
    json << reportJson(report);
    return page.good() && json.good();
}

} // namespace

int main(int argc, char** argv)
{
    SettingsReader settings(parseCommandLine(argc, argv, usage, "wasabi-load"), "WASABI_LOAD");
    std::vector<Error> errors;
    const LoadOptions options = readOptions(settings, errors);
    if (!errors.empty()) {
        printErrors(errors);
        return exit_codes::usageError;
    }
    const LoadReport report = runLoad(options);
    std::cout << (settings.boolean("--json", false) ? reportJson(report) : reportTable(report));
    const std::string directory = settings.text("--report", "");
    if (!directory.empty() && !writeReport(directory, report, settings.text("--title", "wasabi-load"))) {
        std::cerr << "wasabi-load: cannot write to " << directory << "; choose a writable directory\n";
        return exit_codes::usageError;
    }
    return report.violations().empty() ? exit_codes::success : violationsFound;
}
