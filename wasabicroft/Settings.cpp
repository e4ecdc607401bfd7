#include "wasabicroft/Settings.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <docopt/docopt.h>
#include <iostream>
#include <sstream>

namespace wasabicroft {

namespace {

    std::vector<std::string> split(const std::string& text)
    {
        std::vector<std::string> parts;
        size_t start = 0;
        while (start <= text.size() && !text.empty()) {
            const size_t comma = std::min(text.find(',', start), text.size());
            parts.push_back(text.substr(start, comma - start));
            start = comma + 1;
        }
        return parts;
    }

    std::string joinLines(const std::vector<std::string>& lines)
    {
        std::string text;
        for (const std::string& line : lines)
            text += (text.empty() ? "" : "\n") + line;
        return text;
    }

    std::optional<uint64_t> parseNumber(const std::string& text)
    {
        uint64_t value = 0;
        const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    std::string rangeText(uint64_t min, uint64_t max) { return std::to_string(min) + " to " + std::to_string(max); }

} // namespace

SettingsReader::SettingsReader(Flags parsedFlags, std::string environmentPrefix, Flags fileValues)
    : flags(std::move(parsedFlags))
    , prefix(std::move(environmentPrefix))
    , fromFile(std::move(fileValues))
{
}

std::string SettingsReader::environmentName(const std::string& flag) const
{
    std::string name = this->prefix;
    for (const char c : flag.substr(1))
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return name;
}

std::optional<std::string> SettingsReader::find(const std::string& flag) const
{
    const auto given = this->flags.find(flag);
    if (given != this->flags.end())
        return given->second;
    const char* value = std::getenv(this->environmentName(flag).c_str());
    if (value)
        return std::string(value);
    const auto listed = this->fromFile.find(flag);
    if (listed != this->fromFile.end())
        return listed->second;
    return std::nullopt;
}

void SettingsReader::reject(const std::string& flag, const std::string& value, const std::string& expected)
{
    this->problems.push_back({ ErrorKind::InvalidSetting,
        flag + " (or " + this->environmentName(flag) + ") is '" + value + "'; set it to " + expected });
}

std::string SettingsReader::text(const std::string& flag, const std::string& defaultValue)
{
    return this->find(flag).value_or(defaultValue);
}

std::string SettingsReader::requiredText(const std::string& flag)
{
    const std::string value = this->text(flag, "");
    if (value.empty())
        this->reject(flag, value, "a value; it has no default");
    return value;
}

uint64_t SettingsReader::number(const std::string& flag, uint64_t defaultValue, uint64_t min, uint64_t max)
{
    const std::optional<std::string> given = this->find(flag);
    if (!given)
        return defaultValue;
    const std::optional<uint64_t> value = parseNumber(*given);
    if (value && *value >= min && *value <= max)
        return *value;
    this->reject(flag, *given, "a whole number from " + rangeText(min, max));
    return defaultValue;
}

double SettingsReader::decimal(const std::string& flag, double defaultValue, double min, double max)
{
    const std::optional<std::string> given = this->find(flag);
    if (!given)
        return defaultValue;
    double value = 0;
    const std::from_chars_result parsed = std::from_chars(given->data(), given->data() + given->size(), value);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == given->data() + given->size();
    if (isNumber && value >= min && value <= max)
        return value;
    std::ostringstream expected;
    expected << "a number from " << min << " to " << max;
    this->reject(flag, *given, expected.str());
    return defaultValue;
}

Milliseconds SettingsReader::duration(
    const std::string& flag, Milliseconds defaultValue, Milliseconds min, Milliseconds max)
{
    const std::optional<std::string> given = this->find(flag);
    if (!given)
        return defaultValue;
    const std::optional<uint64_t> value = parseNumber(*given);
    const uint64_t low = static_cast<uint64_t>(min.count());
    const uint64_t high = static_cast<uint64_t>(max.count());
    if (value && *value >= low && *value <= high)
        return Milliseconds(*value);
    this->reject(flag, *given, "a number of milliseconds from " + rangeText(low, high));
    return defaultValue;
}

Endpoint SettingsReader::endpoint(const std::string& flag, const Endpoint& defaultValue)
{
    const std::optional<std::string> given = this->find(flag);
    if (!given)
        return defaultValue;
    const Result<Endpoint> value = parseEndpoint(*given);
    if (value)
        return value.value();
    this->reject(flag, *given, "an IP address with a port, for example 127.0.0.1:7000");
    return defaultValue;
}

std::string SettingsReader::ipAddress(const std::string& flag)
{
    const std::string value = this->text(flag, "");
    const std::string host = value.find(':') == std::string::npos ? value : '[' + value + ']';
    const Result<Endpoint> parsed = parseEndpoint(host + ":0");
    if (value.empty())
        return value;
    if (parsed)
        return parsed.value().address;
    this->reject(flag, value, "an IP address, for example 127.0.0.1");
    return "";
}

std::vector<Endpoint> SettingsReader::endpoints(const std::string& flag)
{
    std::vector<Endpoint> values;
    for (const std::string& part : this->list(flag)) {
        const Result<Endpoint> value = parseEndpoint(part);
        if (value)
            values.push_back(value.value());
        else
            this->reject(flag, part, "IP addresses with ports, separated by commas");
    }
    return values;
}

std::vector<std::string> SettingsReader::list(const std::string& flag) { return split(this->text(flag, "")); }

bool SettingsReader::boolean(const std::string& flag, bool defaultValue)
{
    const std::optional<std::string> given = this->find(flag);
    if (!given)
        return defaultValue;
    if (*given == "true" || *given == "1")
        return true;
    if (*given == "false" || *given == "0")
        return false;
    this->reject(flag, *given, "true or false");
    return defaultValue;
}

Severity SettingsReader::severity(const std::string& flag, Severity defaultValue)
{
    static const std::map<std::string, Severity> names = { { "debug", Severity::Debug }, { "info", Severity::Info },
        { "warning", Severity::Warning }, { "error", Severity::Error } };
    const std::optional<std::string> given = this->find(flag);
    if (!given)
        return defaultValue;
    const auto found = names.find(*given);
    if (found != names.end())
        return found->second;
    this->reject(flag, *given, "debug, info, warning or error");
    return defaultValue;
}

const std::vector<Error>& SettingsReader::errors() const { return this->problems; }

Flags parseCommandLine(int argc, char** argv, const std::string& usage, const std::string& program)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    Flags flags;
    try {
        for (const auto& [name, value] : docopt::docopt_parse(usage, arguments, true, true, false)) {
            if (value.isString())
                flags[name] = value.asString();
            else if (value.isBool() && value.asBool())
                flags[name] = "true";
            else if (value.isLong() && value.asLong() > 0)
                flags[name] = std::to_string(value.asLong());
            else if (value.isStringList() && !value.asStringList().empty())
                flags[name] = joinLines(value.asStringList());
        }
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        std::exit(exit_codes::success);
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << program << ' ' << WASABICROFT_VERSION << '\n';
        std::exit(exit_codes::success);
    } catch (const docopt::DocoptArgumentError& error) {
        std::cerr << program << ": " << error.what() << "; see " << program << " --help\n";
        std::exit(exit_codes::usageError);
    }
    return flags;
}

void printErrors(const std::vector<Error>& errors)
{
    for (const Error& error : errors)
        std::cerr << nameOf(error.kind) << ": " << error.message << '\n';
}

} // namespace wasabicroft
