// Options and results of the policy model, and the generated arrivals that are the same for the policy and the modes
// that it is compared with.
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
    uint16_t slots = 4; // Per host.
    Milliseconds domainDelay { 4 }; // One way, between failure domains.
};

inline PolicyPool strazcaPool() { return {}; }
inline PolicyPool rigCheckPool() { return { "rigcheck", 7, 2, Milliseconds(3) }; }

// Settings of the real policy (Placement and Admission).
struct PolicyTuning {
    size_t candidates = 2;
    size_t maxWaitHosts = 8; // Maximum number of hosts at which one request is queued.
    double remotePenalty = 0.25;
    uint16_t reserveAhead = 1;
    uint16_t reserveAheadMinQueue = 2;
    Milliseconds backupOvertakeMargin { 50 };
    bool backupSalt = true;
    bool backups = true; // Requests also wait at other hosts, as backups.
    // A host that is asked and has no free slot keeps the request as a backup instead of declining it.
    bool keepAskedAsBackup = false;
    bool queueAtOnceWhenSaturated = true;
    bool deadlineOrder = true;
    bool ramp = true;
    uint16_t queueLimit = 16;
    Milliseconds backupDelay { 10 }; // Until a request that was queued without asking also waits at other hosts.
    Milliseconds stragglerAfter { 75 };
};

struct PolicyModelOptions {
    PolicyPool pool;
    ArrivalProcess process = ArrivalProcess::Steady;
    PolicyMode mode = PolicyMode::Policy;
    PolicyTuning tuning;
    uint64_t seed = 1;
    unsigned entries = 6;
    double seconds = 120; // Length of the steady process.
};

struct PolicyResults {
    double waitP50 = 0, waitP99 = 0, waitP999 = 0; // Milliseconds from arrival until the work starts.
    double imbalance = 0; // Maximum over mean of busy slot time per host, in the worst 10 s window.
    double peakGoodput = 0; // Useful slot time over available slot time during the peak; swing only.
    double refusalP99 = 0; // Milliseconds from arrival to refusal.
    double attempts = 0; // Per request: the first attempt and each one after a refusal or timeout.
    double opens = 0; // Reservation requests (Open) per request, including those for backups.
    double longestIdle = 0; // Maximum milliseconds that a slot was idle while a request waited.
    double maxRampExcess = 0; // Maximum work in progress above the ramp limit at a joining host.
    size_t requests = 0, served = 0, refused = 0, expired = 0;
    size_t late = 0; // Served after the caller's deadline.
    size_t lost = 0; // Neither served nor refused.
};

//-----------------------------------------------------------------------------
// [SECTION] Arrivals
//-----------------------------------------------------------------------------

namespace policy_model {
    constexpr double normalWork = 0.050; // Seconds.
    constexpr double stragglerWork = 1.5; // Seconds; one request in a hundred is a straggler.
    constexpr double meanWork = 0.99 * normalWork + 0.01 * stragglerWork;
    constexpr double targetUtilization = 0.8;
    constexpr double peakStart = 12; // Seconds; demand starts to rise 2 s earlier.
    constexpr double peakEnd = 20; // Seconds; demand is back to normal 2 s later.
    constexpr double replaceInterval = 10; // Seconds between the replacements of two hosts.
    constexpr double replaceTime = 3; // Seconds from the drain to the start of the new instance.
    constexpr double coldTime = 2; // Seconds during which a new instance is slower.
    constexpr double coldFactor = 1.5;
    constexpr double imbalanceWindow = 10; // Seconds over which the imbalance is computed.
    constexpr Milliseconds reportInterval { 500 };
    constexpr Milliseconds localDelay { 0 };
    constexpr Milliseconds callerDeadline { 2000 };
    constexpr Milliseconds naiveTimeout { 1000 };
    constexpr unsigned naiveMaxAttempts = 20; // Bounds the run; real naive callers have no limit.
    constexpr Milliseconds rampDuration { 5000 };

    inline Duration fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }
    inline double toMs(Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

    struct Arrival {
        double at = 0; // Seconds since the start.
        double work = 0; // Seconds.
        unsigned entry = 0;
    };

    inline double runSeconds(const PolicyModelOptions& options)
    {
        if (options.process == ArrivalProcess::Steady)
            return options.seconds;
        return options.process == ArrivalProcess::Swing ? 40 : (options.pool.hosts + 1) * replaceInterval;
    }

    // Demand as a multiple of the pool's capacity at the given second.
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
