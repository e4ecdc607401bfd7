// Load generator: open-loop arrivals of registrations, downloads and uploads, and feeds held open, against any service
// that speaks the protocol of fakes/Upstream.h, directly or through a relay or a balancer. Every request uses a
// connection of its own.
#pragma once

#include "fakes/LoadReport.h"

#include <memory>

namespace wasabicroft::fakes {

// One kind of load: where it goes and how much of it.
struct LoadTarget {
    std::vector<Endpoint> addresses; // one is chosen at random for each request; empty: no load of this kind
    std::string service; // expected in every answer
    double rate = 0; // requests a second before the swing; for feeds the number held open
    uint64_t bytes = 0; // of a download or an upload
};

// The rate is multiplied by up to factor: it rises linearly from begin on within rise, stays for hold and falls again.
struct Swing {
    double factor = 1;
    double begin = 0; // seconds
    double rise = 2; // seconds
    double hold = 10; // seconds

    double factorAt(double at) const;
};

// A POST to an admin port during the run, for example /drain of an upstream or /cut of a relay; marked on the plots.
struct LoadAction {
    double atSeconds = 0; // seconds
    std::string path;
    Endpoint admin;
};

struct LoadOptions {
    std::array<LoadTarget, loadKindCount> targets; // by LoadKind
    std::vector<Endpoint> upstreamAdmins; // for ledgers and busy times
    std::vector<LoadAction> actions;
    Swing swing; // of registrations, downloads and uploads
    double seconds = 10;
    Milliseconds workTime { 50 }; // of a registration
    uint32_t stragglerOneIn = 0; // registrations that take stragglerFactor times longer; 0: none
    uint32_t stragglerFactor = 30;
    Milliseconds timeout { 10000 }; // of a request; stragglers get their work time in addition
    Milliseconds deadline { 0 }; // sent as X-Deadline-Ms; 0: none
    Milliseconds silenceLimit { 5000 }; // a feed without bytes for longer counts as silent
    double imbalanceWindowSeconds = 10; // of the imbalance
    size_t maxOpenRequests = 20000;
    uint64_t seed = 1;

    LoadTarget& targetFor(LoadKind kind) { return this->targets.at(static_cast<size_t>(kind)); }
    const LoadTarget& targetFor(LoadKind kind) const { return this->targets.at(static_cast<size_t>(kind)); }
};

// Runs the load on the calling thread, and the actions and busy time readings on a second one. Returns after the
// duration plus the time that open requests need, at most the timeout.
LoadReport runLoad(const LoadOptions&);

} // namespace wasabicroft::fakes
