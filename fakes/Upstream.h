// Stand-in for an upstream instance: an HTTP/1.1 service over TCP with slots, stragglers, cold start and drain, and an
// admin port. Runs in a thread of its own.
//
// Index
//   [SECTION] Options
//   [SECTION] Ledger
//   [SECTION] Upstream
//
// Service port (mode Http); every answer carries X-Service and X-Upstream:
//   POST /register       takes a slot and works; X-Request-Id is required; X-Deadline-Ms aborts the work with 504;
//                        X-Work-Ms overrides the work time; the answer states the time in X-Worked-Us;
//                        X-Service, if given, must name this service, else the answer is 421
//   GET  /feed           endless feed lines (see Pattern.h), no slot; interval_ms and lines override the defaults
//   GET  /download?bytes=N  takes a slot; pattern bytes with their digest in X-Digest
//   POST /upload         takes a slot; the answer states byte count, digest and whether the bytes are the pattern
// A request that finds no free slot gets 503 with X-Not-Run: 1 and is not recorded as an execution.
// Service port (mode Echo): sends "SERVICE UPSTREAM\n" with the first bytes, then repeats all bytes; half-close.
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

// What /health answers.
enum class HealthReport : uint8_t { Actual, AlwaysReady, AlwaysDraining };

// Deliberate faults that show that the checks of tests and of the load tool fire. 0 means never.
struct UpstreamFaults {
    uint32_t duplicateOneIn = 0; // executes a registration twice
    uint32_t loseOneIn = 0; // answers 200 without executing
    uint32_t falseRefusalOneIn = 0; // executes, then answers 503 with X-Not-Run
    uint32_t feedGapOneIn = 0; // leaves out a feed line
    uint32_t feedRepeatOneIn = 0; // sends a feed line twice
    uint32_t feedCorruptOneIn = 0; // damages a byte of a feed line
    std::string answerAsService; // service name in answers and feed lines; empty: the own name
};

struct UpstreamOptions {
    std::string service = "service";
    std::string name = "upstream-1";
    Endpoint listen { "127.0.0.1", 0 };
    Endpoint admin { "127.0.0.1", 0 };
    UpstreamMode mode = UpstreamMode::Http;
    uint32_t slots = 4;
    uint32_t maxConnections = 2000; // open connections; more are reset
    Milliseconds workTime { 50 }; // of a registration
    uint32_t stragglerOneIn = 0; // registrations that take stragglerFactor times longer; 0: none
    uint32_t stragglerFactor = 30;
    Milliseconds coldStart { 0 }; // work is slower by coldStartFactor at first, falling linearly to 1
    double coldStartFactor = 5;
    Milliseconds feedInterval { 100 };
    Milliseconds healthLag { 0 }; // /health shows the state this long ago
    HealthReport health = HealthReport::Actual;
    uint64_t seed = 1;
    UpstreamFaults faults;
};

//-----------------------------------------------------------------------------
// [SECTION] Ledger
//-----------------------------------------------------------------------------

struct ExecutionCounts {
    uint32_t started = 0; // times
    uint32_t finished = 0; // times
    uint32_t cancelled = 0; // times aborted by a reset or a deadline
};

struct Ledger {
    std::map<std::string, ExecutionCounts> executions; // by request id
    uint64_t foreign = 0; // requests for another service
    uint64_t malformed = 0; // requests that are not valid HTTP, unknown paths or without a request id
    uint64_t shed = 0; // requests without a free slot
    uint64_t workAfterDrain = 0; // requests and feeds that began while draining
    Milliseconds lastWorkAfterDrain { 0 }; // time from the drain to the last of these
};

//-----------------------------------------------------------------------------
// [SECTION] Upstream
//-----------------------------------------------------------------------------

// Safe to use from any thread. The destructor closes all connections.
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

// The JSON form of GET /ledger and back.
std::string ledgerToJson(const Ledger&);
Result<Ledger> ledgerFromJson(std::string_view json);

} // namespace wasabicroft::fakes
