// Analyzes logs of the packet programs: summary, HTML report, log lines of a flow.
#include "wasabicroft/LogReport.h"
#include "wasabicroft/Settings.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

const char* const usage
    = R"(Analyzes logs of the packet programs: event counts, starts and losses in chronological order, log lines of one
flow, and a page with plots of flows, refusals, waiting requests and the age of the load data used for placement.

Usage:
  wasabi-report [options] <log>...

Options:
  --page=FILE       Writes a self-contained HTML page.
  --title=TEXT      Title of the page [default: Packet path].
  --flow=ID         Prints the log lines of a flow instead of the summary, for example 100.64.0.7:40001>198.18.0.1:443.
  -h --help         Show this text.
  --version         Show the version.

Exit code 1 if a file can't be read or has no log lines.
)";

} // namespace

int main(int argc, char** argv)
{
    using namespace wasabicroft; // NOLINT(google-build-using-namespace)
    const Flags arguments = parseCommandLine(argc, argv, usage, "wasabi-report");
    SettingsReader settings(arguments, "WASABI_REPORT");
    const std::string page = settings.text("--page", "");
    const std::string title = settings.text("--title", "Packet path");
    const std::string flow = settings.text("--flow", "");
    LogReport report;
    std::istringstream paths(arguments.at("<log>"));
    for (std::string path; std::getline(paths, path);) {
        std::ifstream file(path);
        size_t lines = 0;
        for (std::string line; std::getline(file, line);)
            lines += report.add(line) ? 1 : 0;
        if (lines == 0) {
            std::cerr << path << ": no log lines; name a file with the standard output of a packet program\n";
            return exit_codes::invalidInput;
        }
    }
    if (flow.empty()) {
        std::cout << report.summary();
    } else {
        for (const std::string& line : report.linesOfFlow(flow))
            std::cout << line << '\n';
    }
    if (page.empty())
        return exit_codes::success;
    std::ofstream out(page);
    out << toHtml(report.page(title));
    if (!out) {
        std::cerr << page << ": can't be written; check the directory\n";
        return exit_codes::invalidInput;
    }
    return exit_codes::success;
}
