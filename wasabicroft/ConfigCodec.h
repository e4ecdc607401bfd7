// Canonical JSON encoding, decoding and validation of published configurations and instance lists.
//
// Decoding accepts only the bytes that encoding would produce. A process can therefore reproduce the published bytes
// and their digests from a Snapshot when a peer fetches them.
//
// Index
//   [SECTION] Keys
//   [SECTION] Encoding
//   [SECTION] Validation
//   [SECTION] Snapshots
#pragma once

#include "wasabicroft/Config.h"
#include "wasabicroft/Membership.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Keys
//-----------------------------------------------------------------------------

inline constexpr std::string_view manifestKey = "manifest";
inline constexpr std::string_view serviceKeyPrefix = "services/";

std::string serviceKey(std::string_view service); // "services/label-print"

// Encoded services by service name.
using ValuesByService = std::map<std::string, std::string>;

//-----------------------------------------------------------------------------
// [SECTION] Encoding
//-----------------------------------------------------------------------------

uint64_t digestOf(std::string_view bytes); // XXH3

// The order of services, listeners and upstreams in the argument does not affect the bytes: they are sorted by name.
std::string encodeManifest(const Manifest&);
std::string encodeService(const ServiceConfig&);
std::string encodeMembers(const std::vector<Member>&);

// Returns all values of a service by path, such as "services/alerts/upstreams/host-1/agent". Used by wasabictl diff and
// wasabictl explain.
std::map<std::string, std::string> flatten(const ServiceConfig&);

Result<Manifest> decodeManifest(std::string_view bytes);
Result<ServiceConfig> decodeService(std::string_view bytes);
Result<std::vector<Member>> decodeMembers(std::string_view bytes);

//-----------------------------------------------------------------------------
// [SECTION] Validation
//-----------------------------------------------------------------------------

struct ConfigProblem {
    std::string path; // "services/label-print/upstreams/printer-1/agent"
    std::string message; // What is wrong and how to correct it.
};

struct NumberRange {
    uint64_t min = 0;
    uint64_t max = 0;

    bool contains(uint64_t value) const { return value >= this->min && value <= this->max; }
};

// Bounds of values, shared by the YAML parser and validate().
namespace config_bounds {
    inline constexpr NumberRange version { 1, UINT64_MAX };
    inline constexpr NumberRange port { 1, 65535 };
    inline constexpr NumberRange slots { 1, 10000 };
    inline constexpr NumberRange connections { 1, 1000000 };
    inline constexpr NumberRange queueLimit { 0, 65535 };
    inline constexpr NumberRange maxQueueWait { 0, 600000 }; // ms
    inline constexpr NumberRange rampDuration { 0, 3600000 }; // ms
    inline constexpr NumberRange stragglerAfter { 1, 3600000 }; // ms
    inline constexpr double maxRetryBudget = 1;
    inline constexpr size_t maxNameBytes = 64;
    inline constexpr size_t maxRefusalBytes = 4096;
    inline constexpr size_t maxValueBytes = 1000000; // Size limit of the platform for one value.
} // namespace config_bounds

using NameHash = std::function<uint64_t(std::string_view)>;

// Returns all problems of a configuration; it is valid if there are none. The result depends only on the arguments, so
// that every process and wasabictl compile reach the same result. Tests pass another hash to provoke collisions.
std::vector<ConfigProblem> validate(const std::vector<ServiceConfig>&, const NameHash& hash = hashName);

// Accepts 1 to 64 lower-case letters, digits, '-' and '.', with a letter or digit first.
bool isValidName(std::string_view name);

//-----------------------------------------------------------------------------
// [SECTION] Snapshots
//-----------------------------------------------------------------------------

ConfigVersion versionOf(const Manifest&, std::string_view manifestBytes);

// Fails unless every value matches its digest in the manifest and the whole configuration passes validate().
Result<std::shared_ptr<const Snapshot>> parseSnapshot(std::string_view manifestBytes, const ValuesByService&);

// Encoded manifest and services of a configuration.
struct PublishedConfig {
    std::string manifest;
    ValuesByService values;
};

// Encodes a configuration without validating it.
PublishedConfig encodeConfig(uint64_t epoch, uint64_t version, const std::vector<ServiceConfig>&);
PublishedConfig encodeConfig(const Snapshot&); // Returns the bytes from which the snapshot was parsed.

} // namespace wasabicroft
