// What the policy model is asked for and answers, and the arrivals that it and its comparisons share.
//
// Index
//   [SECTION] Options and results
//   [SECTION] Arrivals
#pragma once

#include "wasabicroft/Clock.h"

#include <algorithm>
#include <array>
#include <random>
#include <string>
#include <vector>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Options and results
//-----------------------------------------------------------------------------

enum class PolicyMode : uint8_t { Random, TwoChoices, Sequential, Policy, Central };
inline constexpr std::array<std::string_view, 5> policyModeNames
    = { "random", "two-choices", "sequential", "policy", "central" };

enum class ArrivalProcess : uint8_t { Steady, Swing, Rolling };
inline constexpr std::array<std::string_view, 3> arrivalProcessNames = { "steady", "swing", "rolling" };

struct PolicyPool {
    std::string name = "strazca";
    unsigned hosts = 7;
    uint16_t slots = 4; // per host
    Milliseconds domainDelay { 4 }; // one way, between failure domains
};

inline PolicyPool strazcaPool() { return {}; }
inline PolicyPool rigCheckPool() { return { "rigcheck", 7, 2, Milliseconds(3) }; }

// Switches and numbers of the real policy.
struct PolicyTuning {
    size_t candidates = 2;
    size_t maxWaitHosts = 8; // most hosts at which one request waits
    double remotePenalty = 0.25;
    uint16_t reserveAhead = 1;
    uint16_t reserveAheadMinQueue = 2;
    Milliseconds backupOvertakeMargin { 50 };
    bool backupSalt = true;
    bool backups = true; // wait as backup at the other hosts
    bool keepAskedAsBackup
        = false; // an asked host that has no slot keeps the request as a backup instead of passing it
    bool queueAtOnceWhenSaturated = true;
    bool deadlineOrder = true;
    bool ramp = true;
    uint16_t queueLimit = 16;
    Milliseconds backupDelay { 10 }; // of a request that queued at once
    Milliseconds stragglerAfter { 75 };
};

struct PolicyModelOptions {
    PolicyPool pool;
    ArrivalProcess process = ArrivalProcess::Steady;
    PolicyMode mode = PolicyMode::Policy;
    PolicyTuning tuning;
    uint64_t seed = 1;
    unsigned entries = 6;
    double seconds = 120; // length of the steady process
};

struct PolicyResults {
    double waitP50 = 0, waitP99 = 0, waitP999 = 0; // ms from arrival until the work starts
    double imbalance = 0; // largest over mean of busy slot time per host, worst 10 s window
    double peakGoodput = 0; // useful slot time over the slots' time at the crest; swing only
    double refusalP99 = 0; // ms
    double attempts = 0; // per request: the first, and each after a refusal or time-out
    double opens = 0; // reservation requests per request, including backups
    double longestIdle = 0; // ms that one slot was idle while one request waited
    double maxRampExcess = 0; // most work in progress above the ramp at a joining host
    size_t requests = 0, served = 0, refused = 0, expired = 0;
    size_t late = 0; // served after the caller's deadline
    size_t lost = 0; // neither served nor refused
};

//-----------------------------------------------------------------------------
// [SECTION] Arrivals
//-----------------------------------------------------------------------------

namespace policy_model {
    constexpr double normalWork = 0.050; // s
    constexpr double stragglerWork = 1.5; // s, one in a hundred
    constexpr double meanWork = 0.99 * normalWork + 0.01 * stragglerWork;
    constexpr double targetUtilization = 0.8;
    constexpr double peakStart = 12; // s; the swing begins 2 s before
    constexpr double peakEnd = 20; // s
    constexpr double replaceInterval = 10; // s between the replacements of two hosts
    constexpr double replaceTime = 3; // s from drain to the new instance
    constexpr double coldTime = 2; // s during which a new instance is slower
    constexpr double coldFactor = 1.5;
    constexpr double imbalanceWindow = 10; // s, of the imbalance
    constexpr Milliseconds reportInterval { 500 };
    constexpr Milliseconds localDelay { 0 };
    constexpr Milliseconds callerDeadline { 2000 };
    constexpr Milliseconds naiveTimeout { 1000 };
    constexpr unsigned naiveMaxAttempts = 20; // bounds the run; a naive caller has no limit
    constexpr Milliseconds rampDuration { 5000 };

    inline Duration fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }
    inline double toMs(Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

    struct Arrival {
        double at = 0; // s
        double work = 0; // s
        unsigned entry = 0;
    };

    inline double runSeconds(const PolicyModelOptions& options)
    {
        if (options.process == ArrivalProcess::Steady)
            return options.seconds;
        return options.process == ArrivalProcess::Swing ? 40 : (options.pool.hosts + 1) * replaceInterval;
    }

    // Demand over capacity at a time.
    inline double demand(ArrivalProcess process, double at)
    {
        if (process != ArrivalProcess::Swing || at < peakStart - 2 || at > peakEnd + 2)
            return targetUtilization;
        const double up = std::min(1.0, (at - (peakStart - 2)) / 2);
        const double down = std::min(1.0, (peakEnd + 2 - at) / 2);
        return targetUtilization + (3 - targetUtilization) * std::min(up, down);
    }

    inline std::vector<Arrival> arrivals(const PolicyModelOptions& options)
    {
        std::mt19937_64 random(options.seed);
        std::uniform_real_distribution<double> uniform(0, 1);
        const double capacity = options.pool.hosts * options.pool.slots / meanWork;
        std::exponential_distribution<double> interarrivalTime(3 * capacity);
        std::vector<Arrival> list;
        for (double at = interarrivalTime(random); at < runSeconds(options); at += interarrivalTime(random)) {
            const bool isKept = uniform(random) < demand(options.process, at) / 3;
            const double work = uniform(random) < 0.01 ? stragglerWork : normalWork;
            const unsigned entry = static_cast<unsigned>(random() % options.entries);
            if (isKept)
                list.push_back({ at, work, entry });
        }
        return list;
    }
} // namespace policy_model

} // namespace wasabicroft
