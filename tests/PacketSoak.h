// Random faults, in series and overlapping, against the packet programs as separate processes on loopback. Callers and
// hosts check every packet while faults go on; see PacketSoakEnvironment.h. A seed fixes the schedule, not the timing.
#pragma once

#include "tests/PacketSoakEnvironment.h"

#include <ostream>
#include <span>

namespace wasabicroft::tests {

enum class SoakFault : uint8_t {
    KillEntry,
    StopEntry, // SIGTERM; callers go on using it until the router notices
    PauseEntry,
    ReloadEntry, // SIGHUP, many times
    KillAgent,
    PauseMachine, // agent and host
    KillAll,
    CrashHost, // a new incarnation, at times with the old name
    ReuseAddress, // a host of another service starts at the address, with an agent of its own
    DrainHost,
    CutPath, // from or to an entry or an agent
    DelayNetwork,
    LoseDatagrams,
    StoreDown, // entries of hosts may lapse meanwhile
    StoreCut, // silence, for one entry
    StoreSwallow, // the present connections of one entry stay silent
    StoreSlow,
    ChangeRoutes,
    InvalidItems, // in the store
    MoveCallers, // to other entries
};

inline constexpr std::array<std::string_view, 20> soakFaultNames
    = { "kill-entry", "stop-entry", "pause-entry", "reload-entry", "kill-agent", "pause-machine", "kill-all",
          "crash-host", "reuse-address", "drain-host", "cut-path", "delay-network", "lose-datagrams", "store-down",
          "store-cut", "store-swallow", "store-slow", "change-routes", "invalid-items", "move-callers" };

std::string_view nameOf(SoakFault);

struct SoakStep {
    Milliseconds start { 0 }; // since the begin of the load
    Milliseconds duration { 0 }; // until the fault ends
    SoakFault fault = SoakFault::KillEntry;
    size_t target = 0; // entry or host, if the fault has one
    uint64_t randomValue = 0; // decides details of the fault
};

struct SoakOptions {
    uint64_t seed = 1;
    Milliseconds duration { 20000 }; // of the faults; recovery and last checks take 16 s more
    SoakSize size;
    std::string programs; // directory of the built programs
};

struct SoakResult {
    SoakStatistics statistics; // with the violations; none on a good run
    std::map<SoakFault, uint64_t> counts; // faults caused
    std::string report;
};

// A seed that once broke a promise.
struct SoakRegression {
    uint64_t seed = 0; // with the default options
    std::string_view cause;
};

std::span<const SoakRegression> soakRegressions();

// The same schedule for the same options.
std::vector<SoakStep> soakSchedule(const SoakOptions&);

void printSchedule(const std::vector<SoakStep>&, std::ostream&);

SoakResult runSoak(const SoakOptions&, std::ostream& log);

} // namespace wasabicroft::tests
