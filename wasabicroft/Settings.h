// Settings of a daemon from flags and environment variables. A flag wins over its environment variable, which wins over
// the default. All wrong settings are collected, so that they can be reported at once.
#pragma once

#include "wasabicroft/Config.h"
#include "wasabicroft/Log.h"

#include <map>
#include <string>
#include <vector>

namespace wasabicroft {

// Exit codes of every program.
namespace exit_codes {
    inline constexpr int success = 0;
    inline constexpr int invalidInput = 1;
    inline constexpr int usageError = 2;
    inline constexpr int unreachable = 3;
} // namespace exit_codes

// Parsed command line: flag name with dashes to value; absent flags are missing. A positional argument that may be
// repeated has one value a line.
using Flags = std::map<std::string, std::string>;

class SettingsReader {
public:
    // prefix is the environment prefix: "WASABI_ENTRY" maps --listen-address to WASABI_ENTRY_LISTEN_ADDRESS.
    // fromFile holds values of a settings file, which flags and environment variables override.
    SettingsReader(Flags, std::string prefix, Flags fromFile = {});

    std::string text(const std::string& flag, const std::string& defaultValue);
    std::string requiredText(const std::string& flag);
    uint64_t number(const std::string& flag, uint64_t defaultValue, uint64_t min, uint64_t max);
    Milliseconds duration(const std::string& flag, Milliseconds defaultValue, Milliseconds min, Milliseconds max);
    Endpoint endpoint(const std::string& flag, const Endpoint& defaultValue); // "ip:port"
    std::string ipAddress(const std::string& flag); // may be empty
    std::vector<Endpoint> endpoints(const std::string& flag); // comma-separated; may be empty
    std::vector<std::string> list(const std::string& flag); // comma-separated; may be empty
    bool boolean(const std::string& flag, bool defaultValue);
    Severity severity(const std::string& flag, Severity defaultValue);

    // Adds an error for a value that the program itself checks.
    void reject(const std::string& flag, const std::string& value, const std::string& expected);

    const std::vector<Error>& errors() const;

private:
    std::optional<std::string> find(const std::string& flag) const;
    std::string environmentName(const std::string& flag) const;

    Flags flags;
    std::string prefix;
    Flags fromFile;
    std::vector<Error> problems;
};

// Parses argv with a docopt usage text. Prints help or version and exits where asked; exits with wrongUsage on a
// command line that does not fit the usage.
Flags parseCommandLine(int argc, char** argv, const std::string& usage, const std::string& program);

// Prints the errors, one a line, to standard error.
void printErrors(const std::vector<Error>&);

} // namespace wasabicroft
