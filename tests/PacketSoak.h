// Soak test of the packet programs, which run as separate processes on loopback, with random and overlapping faults.
// Callers and hosts check every packet during the faults; see PacketSoakEnvironment.h. The seed determines the
// schedule, but not the exact timing.
#pragma once

#include "tests/PacketSoakEnvironment.h"

#include <ostream>
#include <span>

namespace wasabicroft::tests {

enum class SoakFault : uint8_t {
    KillEntry,
    StopEntry, // SIGTERM; callers keep using it until the router notices.
    PauseEntry,
    ReloadEntry, // Repeated SIGHUP.
    KillAgent,
    PauseMachine, // Pauses an agent and its host.
    KillAll,
    CrashHost, // A new incarnation, every second time with the old name.
    ReuseAddress, // A host of another service starts at the address, with a new agent.
    DrainHost,
    CutPath, // Drops all datagrams from or to an entry or an agent.
    DelayNetwork,
    LoseDatagrams,
    StoreDown, // The upstream records of hosts may expire meanwhile.
    StoreCut, // The store does not respond to one entry.
    StoreSwallow, // The existing connections of one entry get no more responses.
    StoreSlow,
    ChangeRoutes,
    InvalidItems, // Malformed items in the store.
    MoveCallers, // The routers move callers to other entries.
};

inline constexpr std::array<std::string_view, 20> soakFaultNames
    = { "kill-entry", "stop-entry", "pause-entry", "reload-entry", "kill-agent", "pause-machine", "kill-all",
          "crash-host", "reuse-address", "drain-host", "cut-path", "delay-network", "lose-datagrams", "store-down",
          "store-cut", "store-swallow", "store-slow", "change-routes", "invalid-items", "move-callers" };

std::string_view nameOf(SoakFault);

struct SoakStep {
    Milliseconds start { 0 }; // Since the start of the load.
    Milliseconds duration { 0 }; // Until the fault ends.
    SoakFault fault = SoakFault::KillEntry;
    size_t target = 0; // Index of the entry or host, if the fault affects one.
    uint64_t randomValue = 0; // Determines details of the fault.
};

struct SoakOptions {
    uint64_t seed = 1;
    Milliseconds duration { 20000 }; // Of the faults; recovery and final checks take another 16 s.
    SoakSize size;
    std::string programs; // Directory of the built programs.
};

struct SoakResult {
    SoakStatistics statistics; // Includes the violations; a successful run has none.
    std::map<SoakFault, uint64_t> counts; // Number of injected faults.
    std::string report;
};

// A seed whose schedule once caused a violation; the other options have their defaults.
struct SoakRegression {
    uint64_t seed = 0;
    Milliseconds duration { 0 }; // The schedule depends on it.
    std::string_view cause;
};

std::span<const SoakRegression> soakRegressions();

// Returns the same schedule for the same options.
std::vector<SoakStep> soakSchedule(const SoakOptions&);

void printSchedule(const std::vector<SoakStep>&, std::ostream&);

SoakResult runSoak(const SoakOptions&, std::ostream& log);

} // namespace wasabicroft::tests
