// Parser of the YAML files in which operators write a configuration: a base file with common settings, and overlays.
//
// Layout of each file; an overlay holds only the entries that it changes:
//
//   defaults:                      # of every service; see ServiceConfig for the keys
//     slots: 4
//   failureDomains:
//     luzon-a:
//   services:
//     inspect-api:
//       listeners:
//         hazards: { endpoint: "127.20.0.1:7001", class: feed }
//       upstreams:
//         inspect-1: { failureDomain: luzon-a, agent: "127.20.1.1:7200", address: "127.20.1.1:7300" }
//
// Entries are merged by name. In an overlay, `NAME: { remove: true }` removes an entry of the base file. Two overlays
// must not set the same value differently, so their order has no effect. No I/O: the caller reads the files.
//
// Index
//   [SECTION] Origins
//   [SECTION] ConfigSource
#pragma once

#include "wasabicroft/Config.h"

#include <map>
#include <string>
#include <vector>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Origins
//-----------------------------------------------------------------------------

struct SourceFile {
    std::string name; // File name shown in messages.
    std::string text;
};

struct Origin {
    std::string file; // Empty for a default that is built into the program.
    int line = 0; // Line number, starting at 1.
};

std::string toString(const Origin&); // "base.yaml:12", "built-in default"

// The text of a value and where it was set.
struct SourceValue {
    std::string text;
    Origin origin;
};

// An effective value with the settings that it overrides.
struct Explanation {
    std::string path;
    std::string text; // Effective value.
    Origin origin; // Where the effective value was set.
    std::vector<SourceValue> overridden; // Overridden settings, the base file first.
};

//-----------------------------------------------------------------------------
// [SECTION] ConfigSource
//-----------------------------------------------------------------------------

// Result of parsing and merging: has either services or errors.
struct ConfigSource {
    std::vector<ServiceConfig> services; // Sorted by name.
    std::vector<Error> errors; // All errors, each with file, line and remedy.
    std::map<std::string, std::vector<SourceValue>> settings; // By path; the last one is effective.

    // Returns the values at or below a path such as "services/inspect-api" or "services/inspect-api/slots"; empty if
    // the path is unknown.
    std::vector<Explanation> explain(const std::string& path) const;
};

// Parses and merges the base file and any overlays.
ConfigSource parseSource(const SourceFile& base, const std::vector<SourceFile>& overlays = {});

} // namespace wasabicroft
