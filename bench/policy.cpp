// Compares the load policy with naive policies and with an ideal central queue in a simulation; see docs/POLICY.md.
#include "bench/PolicyModel.h"

#include <cstdio>
#include <docopt/docopt.h>

namespace wasabicroft {
namespace {

    constexpr char usage[] = R"(Measures the load policy in a discrete-event simulation of one pool.

Usage:
  policy [--seed=N] [--pool=NAME] [--process=NAME] [--mode=NAME] [--seconds=N] [--csv] [--candidates=N]
         [--penalty=X] [--ahead=N] [--queue=N] [--straggler=MS] [--backup-delay=MS] [--no-backups] [--no-saturated]
         [--fifo] [--no-ramp] [--ahead-from=N] [--patience=MS] [--no-salt]
         [--wait-at=N] [--ask-as-backup]

Options:
  --seed=N           Seed of the arrivals and of random choices [default: 1].
  --pool=NAME        strazca, rigcheck or all [default: all].
  --process=NAME     steady, swing, rolling or all [default: all].
  --mode=NAME        random, two-choices, sequential, policy, central or all [default: all].
  --seconds=N        Length of the steady process [default: 120].
  --csv              Print CSV instead of a table.
  --candidates=N     Upstreams asked one after the other [default: 2].
  --wait-at=N        Maximum number of hosts at which one request waits [default: 8].
  --penalty=X        Placement penalty for hosts in another failure domain [default: 0.25].
  --ahead=N          Reservations that a host grants beyond its slots [default: 1].
  --ahead-from=N     Minimum queue length for reservations ahead [default: 2].
  --patience=MS      Milliseconds by which a backup's deadline must be earlier to overtake the queue [default: 50].
  --no-salt          All hosts order backups alike, so that they grant the same one first.
  --queue=N          Queue limit per host [default: 16].
  --straggler=MS     A request that holds its slot for longer is a straggler [default: 75].
  --backup-delay=MS  Time until a request queued without asking also waits at other hosts [default: 10].
  --no-backups       Requests wait at one host only.
  --ask-as-backup    An asked host without a free slot keeps the request as a backup.
  --no-saturated     Ask hosts first also when the pool is saturated.
  --fifo             Order queues by arrival instead of by deadline.
  --no-ramp          Do not limit the slots of newly started hosts (no slow start).
)";

    using Arguments = std::map<std::string, docopt::value>;

    PolicyTuning tuningOf(const Arguments& arguments)
    {
        PolicyTuning tuning;
        tuning.candidates = static_cast<size_t>(arguments.at("--candidates").asLong());
        tuning.maxWaitHosts = static_cast<size_t>(arguments.at("--wait-at").asLong());
        tuning.remotePenalty = std::stod(arguments.at("--penalty").asString());
        tuning.reserveAhead = static_cast<uint16_t>(arguments.at("--ahead").asLong());
        tuning.reserveAheadMinQueue = static_cast<uint16_t>(arguments.at("--ahead-from").asLong());
        tuning.backupOvertakeMargin = Milliseconds(arguments.at("--patience").asLong());
        tuning.backupSalt = !arguments.at("--no-salt").asBool();
        tuning.queueLimit = static_cast<uint16_t>(arguments.at("--queue").asLong());
        tuning.stragglerAfter = Milliseconds(arguments.at("--straggler").asLong());
        tuning.backupDelay = Milliseconds(arguments.at("--backup-delay").asLong());
        tuning.backups = !arguments.at("--no-backups").asBool();
        tuning.keepAskedAsBackup = arguments.at("--ask-as-backup").asBool();
        tuning.queueAtOnceWhenSaturated = !arguments.at("--no-saturated").asBool();
        tuning.deadlineOrder = !arguments.at("--fifo").asBool();
        tuning.ramp = !arguments.at("--no-ramp").asBool();
        return tuning;
    }

    void print(const PolicyModelOptions& options, const PolicyResults& results, bool csv)
    {
        const char* format = csv
            ? "%s,%s,%s,%.1f,%.1f,%.1f,%.3f,%.3f,%.1f,%.2f,%.2f,%.1f,%.0f,%zu,%zu,%zu,%zu,%zu,%zu\n"
            : "%-8s %-8s %-11s %8.1f %8.1f %8.1f %7.3f %7.3f %8.1f %6.2f %6.2f %8.1f %5.0f %7zu "
              "%7zu %7zu %7zu %5zu %5zu\n";
        std::printf(format, options.pool.name.c_str(),
            std::string(arrivalProcessNames.at(static_cast<size_t>(options.process))).c_str(),
            std::string(policyModeNames.at(static_cast<size_t>(options.mode))).c_str(), results.waitP50,
            results.waitP99, results.waitP999, results.imbalance, results.peakGoodput, results.refusalP99,
            results.attempts, results.opens, results.longestIdle, results.maxRampExcess, results.requests,
            results.served, results.refused, results.expired, results.late, results.lost);
    }

    bool isChosen(const Arguments& arguments, const char* option, std::string_view name)
    {
        const std::string wanted = arguments.at(option).asString();
        return wanted == "all" || wanted == name;
    }

    int run(const Arguments& arguments)
    {
        const bool csv = arguments.at("--csv").asBool();
        std::puts(csv
                ? "pool,process,mode,p50,p99,p999,imbalance,goodput,refusal-p99,attempts,opens,idle,over-ramp,requests,"
                  "served,refused,expired,late,lost"
                : "pool     process  mode             p50      p99    p99.9  imbal. goodput  refused  att.  opens     "
                  "idle  ramp     req  served refused expired  late  lost");
        for (const PolicyPool& pool : { strazcaPool(), rigCheckPool() }) {
            for (size_t process = 0; process < arrivalProcessNames.size(); ++process) {
                for (size_t mode = 0; mode < policyModeNames.size(); ++mode) {
                    if (!isChosen(arguments, "--pool", pool.name)
                        || !isChosen(arguments, "--process", arrivalProcessNames.at(process))
                        || !isChosen(arguments, "--mode", policyModeNames.at(mode)))
                        continue;
                    const PolicyModelOptions options { pool, static_cast<ArrivalProcess>(process),
                        static_cast<PolicyMode>(mode), tuningOf(arguments),
                        static_cast<uint64_t>(arguments.at("--seed").asLong()), 6,
                        std::stod(arguments.at("--seconds").asString()) };
                    print(options, PolicyModel(options).run(), csv);
                }
            }
        }
        return 0;
    }

} // namespace
} // namespace wasabicroft

int main(int argc, char** argv)
{
    return wasabicroft::run(docopt::docopt(wasabicroft::usage, { argv + 1, argv + argc }, true));
}
