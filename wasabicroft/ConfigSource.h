// The operators' source of a configuration: a base file with the common settings and overlays, in YAML.
//
// Layout of every file; an overlay holds only what it changes:
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
// Entries merge by name. In an overlay `NAME: { remove: true }` removes an entry of the base. Two overlays must not set
// one value differently, so their order has no effect. No I/O: the caller reads the files.
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
    std::string name; // as it appears in messages
    std::string text;
};

struct Origin {
    std::string file; // empty: built into the program
    int line = 0; // counts from 1
};

std::string toString(const Origin&); // "base.yaml:12", "built-in default"

// A value at a path and where it was set.
struct SourceValue {
    std::string text;
    Origin origin;
};

// A value in force with its history.
struct Explanation {
    std::string path;
    std::string text; // value in force
    Origin origin; // what set it
    std::vector<SourceValue> overridden; // earlier settings, the base file first
};

//-----------------------------------------------------------------------------
// [SECTION] ConfigSource
//-----------------------------------------------------------------------------

// A parsed and merged source. Has either services or errors.
struct ConfigSource {
    std::vector<ServiceConfig> services; // sorted by name
    std::vector<Error> errors; // all problems, each with file, line and remedy
    std::map<std::string, std::vector<SourceValue>> settings; // by path; the last one is in force

    // Values at or below a path, for example "services/inspect-api" or "services/inspect-api/slots"; empty if unknown.
    std::vector<Explanation> explain(const std::string& path) const;
};

// Takes the base file and any overlays.
ConfigSource parseSource(const SourceFile& base, const std::vector<SourceFile>& overlays = {});

} // namespace wasabicroft
