// Test double of an upstream instance: an HTTP/1.1 service over TCP with a limited number of slots, stragglers, cold
// start, draining and an admin port. Runs on its own thread.
//
// Index
//   [SECTION] Options
//   [SECTION] Ledger
//   [SECTION] Upstream
//
// Service port in mode Http. Every answer has the headers X-Service and X-Upstream:
//   POST /register       occupies a slot for the work time; X-Request-Id is required; X-Work-Ms overrides the time;
//                        X-Deadline-Ms aborts the work with 504; the answer gives the time worked in X-Worked-Us
//   GET  /feed           endless feed lines (see Pattern.h); needs no slot; interval_ms and lines override the defaults
//   GET  /download?bytes=N  occupies a slot; sends pattern bytes, with their digest in X-Digest
//   POST /upload         occupies a slot; the answer gives byte count, digest and whether the bytes match the pattern
// A request that finds no free slot gets 503 with X-Not-Run: 1 and is not recorded as an execution. A request whose
// X-Service header names another service gets 421.
//
// Service port in mode Echo: sends "SERVICE UPSTREAM\n" before the first echoed bytes, then echoes all bytes. Supports
// half-close.
//
// Admin port:
//   GET /health (200 ready, 503 draining)   GET /load   GET /ledger   POST /drain   POST /undrain
//   POST /set?work_ms=&slots=&health_lag_ms=&health=(true|ready|draining)&straggler_one_in=&cold_start_ms=
#pragma once

#include "wasabicroft/Config.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wasabicroft::fakes {

//-----------------------------------------------------------------------------
// [SECTION] Options
//-----------------------------------------------------------------------------

enum class UpstreamMode : uint8_t { Http, Echo };

// Whether /health reports the actual drain state or a fixed one.
enum class HealthReport : uint8_t { Actual, AlwaysReady, AlwaysDraining };

// Injected faults, used to verify that the checks of the tests and of the load tool detect them. Each occurs once in N
// requests or feed lines on average; 0 means never.
struct UpstreamFaults {
    uint32_t duplicateOneIn = 0; // records two executions of a registration
    uint32_t loseOneIn = 0; // answers 200 without executing the registration
    uint32_t falseRefusalOneIn = 0; // executes the registration, then answers 503 with X-Not-Run
    uint32_t feedGapOneIn = 0; // skips a feed line
    uint32_t feedRepeatOneIn = 0; // sends a feed line twice
    uint32_t feedCorruptOneIn = 0; // corrupts a byte of a feed line
    std::string answerAsService; // service name in answers and feed lines; empty: its own service
};

struct UpstreamOptions {
    std::string service = "service";
    std::string name = "upstream-1";
    Endpoint listen { "127.0.0.1", 0 };
    Endpoint admin { "127.0.0.1", 0 };
    UpstreamMode mode = UpstreamMode::Http;
    uint32_t slots = 4;
    uint32_t maxConnections = 2000; // further connections are reset
    Milliseconds workTime { 50 }; // of a registration, unless X-Work-Ms overrides it
    uint32_t stragglerOneIn = 0; // one registration in N takes stragglerFactor times longer; 0: none
    uint32_t stragglerFactor = 30;
    Milliseconds coldStart { 0 }; // work time is multiplied by coldStartFactor at first, falling linearly to 1
    double coldStartFactor = 5;
    Milliseconds feedInterval { 100 };
    Milliseconds healthLag { 0 }; // /health reports the state as of this long ago
    HealthReport health = HealthReport::Actual;
    uint64_t seed = 1;
    UpstreamFaults faults;
};

//-----------------------------------------------------------------------------
// [SECTION] Ledger
//-----------------------------------------------------------------------------

// How often the work of one request was started and how it ended.
struct ExecutionCounts {
    uint32_t started = 0;
    uint32_t finished = 0;
    uint32_t cancelled = 0; // aborted by a reset or a deadline
};

// Record of everything that an upstream executed or rejected. The load tool compares it with what the clients saw.
struct Ledger {
    std::map<std::string, ExecutionCounts> executions; // by request id
    uint64_t foreign = 0; // requests for another service
    uint64_t malformed = 0; // requests that are not valid HTTP, have an unknown path or lack the request id
    uint64_t shed = 0; // requests rejected because no slot was free
    uint64_t workAfterDrain = 0; // requests and feeds that started while draining
    Milliseconds lastWorkAfterDrain { 0 }; // from the start of the drain to the last of these
};

//-----------------------------------------------------------------------------
// [SECTION] Upstream
//-----------------------------------------------------------------------------

// Thread-safe. The destructor closes all connections.
class Upstream {
public:
    explicit Upstream(const UpstreamOptions&);
    ~Upstream();
    Upstream(const Upstream&) = delete;
    Upstream& operator=(const Upstream&) = delete;

    Endpoint endpoint() const;
    Endpoint adminEndpoint() const;

    void drain();
    void undrain();
    Ledger ledger() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

// Convert a ledger to and from the JSON that GET /ledger answers.
std::string ledgerToJson(const Ledger&);
Result<Ledger> ledgerFromJson(std::string_view json);

} // namespace wasabicroft::fakes
