// Load generator. Sends registrations, downloads and uploads with open-loop arrivals and holds feeds open, against any
// service that speaks the protocol of fakes/Upstream.h: directly, through a relay or through a load balancer. Every
// request uses a new connection.
#pragma once

#include "fakes/LoadReport.h"

#include <memory>

namespace wasabicroft::fakes {

// Destination and amount of one kind of load.
struct LoadTarget {
    std::vector<Endpoint> addresses; // each request uses one at random; empty: no load of this kind
    std::string service; // service name expected in every answer
    double rate = 0; // requests per second outside the swing; for feeds, the number held open
    uint64_t bytes = 0; // size of a download or an upload
};

// Temporary change of the rate: from begin on it goes linearly to factor times the base rate within rise, stays there
// for hold and returns within rise.
struct Swing {
    double factor = 1;
    double begin = 0; // seconds since the start of the run
    double rise = 2; // seconds
    double hold = 10; // seconds

    // Returns the factor at a time in seconds since the start of the run.
    double factorAt(double at) const;
};

// A POST request to an admin port during the run, for example /drain of an upstream or /cut of a relay. Marked in the
// plots.
struct LoadAction {
    double atSeconds = 0; // since the start of the run
    std::string path;
    Endpoint admin;
};

struct LoadOptions {
    std::array<LoadTarget, loadKindCount> targets; // by LoadKind
    std::vector<Endpoint> upstreamAdmins; // admin ports to read ledgers and busy times from
    std::vector<LoadAction> actions;
    Swing swing; // applies to registrations, downloads and uploads
    double seconds = 10;
    Milliseconds workTime { 50 }; // of a registration
    uint32_t stragglerOneIn = 0; // one registration in N takes stragglerFactor times longer; 0: none
    uint32_t stragglerFactor = 30;
    Milliseconds timeout { 10000 }; // of a request, in addition to the work time of a registration
    Milliseconds deadline { 0 }; // sent as X-Deadline-Ms; 0: none
    Milliseconds silenceLimit { 5000 }; // a feed that receives no bytes for longer counts as silent
    double imbalanceWindowSeconds = 10; // length of a window over which imbalance is computed
    size_t maxOpenRequests = 20000;
    uint64_t seed = 1;

    LoadTarget& targetFor(LoadKind kind) { return this->targets.at(static_cast<size_t>(kind)); }
    const LoadTarget& targetFor(LoadKind kind) const { return this->targets.at(static_cast<size_t>(kind)); }
};

// Runs the load on the calling thread; a second thread performs the actions and samples the busy times. Returns after
// the configured duration plus the time that open requests need to complete or time out.
LoadReport runLoad(const LoadOptions&);

} // namespace wasabicroft::fakes
