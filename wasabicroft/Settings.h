// Reads the settings of a program from flags, environment variables and a settings file. A flag overrides its
// environment variable, which overrides the settings file, which overrides the default. All invalid settings are
// collected so that they can be reported together.
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

// Parsed command line: values by flag name, with dashes. Flags that were not given are absent. A positional argument
// that can be repeated has one value per line.
using Flags = std::map<std::string, std::string>;

class SettingsReader {
public:
    // prefix is the prefix of environment variables: "WASABI_ENTRY" maps --listen-address to
    // WASABI_ENTRY_LISTEN_ADDRESS. fromFile holds the values of a settings file.
    SettingsReader(Flags, std::string prefix, Flags fromFile = {});

    std::string text(const std::string& flag, const std::string& defaultValue);
    std::string requiredText(const std::string& flag);
    uint64_t number(const std::string& flag, uint64_t defaultValue, uint64_t min, uint64_t max);
    double decimal(const std::string& flag, double defaultValue, double min, double max);
    Milliseconds duration(const std::string& flag, Milliseconds defaultValue, Milliseconds min, Milliseconds max);
    Endpoint endpoint(const std::string& flag, const Endpoint& defaultValue); // Expects "ip:port".
    std::string ipAddress(const std::string& flag); // May be empty.
    std::vector<Endpoint> endpoints(const std::string& flag); // Comma-separated; may be empty.
    std::vector<std::string> list(const std::string& flag); // Comma-separated; may be empty.
    bool boolean(const std::string& flag, bool defaultValue);
    Severity severity(const std::string& flag, Severity defaultValue);

    // Adds an error for a value; also called by programs that check a value themselves.
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

// Parses argv with a docopt usage text. Prints help or the version and exits if the command line asks for it. Exits
// with usageError if the command line does not match the usage text.
Flags parseCommandLine(int argc, char** argv, const std::string& usage, const std::string& program);

// Prints the errors to standard error, one per line.
void printErrors(const std::vector<Error>&);

} // namespace wasabicroft
