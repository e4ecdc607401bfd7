// Chaos test: injects random faults, alone and in pairs, into a small fleet of processes under load and checks every
// guarantee and invariant. A seed determines the schedule of faults, but not the timing of the load.
#pragma once

#include "tests/Fleet.h"

#include <ostream>

namespace wasabicroft::tests {

enum class ChaosFault : uint8_t {
    KillEntry,
    KillAgent,
    FreezeEntry,
    FreezeAgent,
    CutAgent, // Cuts the path between the entries and the agent.
    SwallowAgent, // Existing connections of that path pass no more bytes; new ones work.
    PlatformDown,
    PlatformStale,
    DrainUpstream,
    OperatorRace, // Two operators publish the same version.
};

inline constexpr std::array<std::string_view, 10> chaosFaultNames
    = { "kill-entry", "kill-agent", "freeze-entry", "freeze-agent", "cut-agent", "swallow-agent", "platform-down",
          "platform-stale", "drain-upstream", "operator-race" };

std::string_view nameOf(ChaosFault);

struct ChaosStep {
    Milliseconds start { 0 }; // Since the start of the load.
    Milliseconds duration { 0 }; // Until the fault is cleared.
    ChaosFault fault = ChaosFault::KillEntry;
    std::string target; // Name of the entry or upstream; "platform" or "operators" for other faults.
};

struct ChaosOptions {
    uint64_t seed = 1;
    Milliseconds duration { 20000 };
    std::string programDirectory; // Contains the built programs.
};

struct ChaosResult {
    std::map<ChaosFault, uint64_t> faultCounts; // Number of injected faults.
    std::vector<std::string> violations; // Empty if all checks passed.
    std::string report;
};

// Returns the same schedule for the same seed and duration. No process has two faults at a time. The last seconds are
// free of faults, so that the recovery can be checked.
std::vector<ChaosStep> chaosSchedule(uint64_t seed, Milliseconds duration);

void printSchedule(const std::vector<ChaosStep>&, std::ostream&);

ChaosResult runChaos(const ChaosOptions&, std::ostream& log);

} // namespace wasabicroft::tests
