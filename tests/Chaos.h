// Random faults, alone and in pairs, against a small fleet of processes under load, with every invariant checked.
// A seed fixes the schedule of faults, but not the timing of the load.
#pragma once

#include "tests/Fleet.h"

#include <ostream>

namespace wasabicroft::tests {

enum class ChaosFault : uint8_t {
    KillEntry,
    KillAgent,
    FreezeEntry,
    FreezeAgent,
    CutAgent, // the path between entries and agent
    SwallowAgent, // the same path loses its connections; new ones work
    PlatformDown,
    PlatformStale,
    DrainUpstream,
    OperatorRace, // two operators publish the same version
};

inline constexpr std::array<std::string_view, 10> chaosFaultNames
    = { "kill-entry", "kill-agent", "freeze-entry", "freeze-agent", "cut-agent", "swallow-agent", "platform-down",
          "platform-stale", "drain-upstream", "operator-race" };

std::string_view nameOf(ChaosFault);

struct ChaosStep {
    Milliseconds start { 0 }; // since the begin of the load
    Milliseconds duration { 0 }; // until the fault ends
    ChaosFault fault = ChaosFault::KillEntry;
    std::string target; // entry or upstream; "platform" or "operators" else
};

struct ChaosOptions {
    uint64_t seed = 1;
    Milliseconds duration { 20000 };
    std::string programDirectory; // directory of the built programs
};

struct ChaosResult {
    std::map<ChaosFault, uint64_t> faultCounts; // faults caused
    std::vector<std::string> violations; // empty on a good run
    std::string report;
};

// The same schedule for the same seed and duration. No process has two faults at a time; the last seconds are free of
// faults, so that the recovery shows.
std::vector<ChaosStep> chaosSchedule(uint64_t seed, Milliseconds duration);

void printSchedule(const std::vector<ChaosStep>&, std::ostream&);

ChaosResult runChaos(const ChaosOptions&, std::ostream& log);

} // namespace wasabicroft::tests
