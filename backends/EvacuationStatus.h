// Compares what entries and agents report of evacuation orders in /status. No I/O.
#pragma once

#include "wasabicroft/Error.h"

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wasabicroft {

// An entry that offers flows to an evacuated domain, as an agent of the domain reports.
struct ReportedOffer {
    std::string entry; // address for hop messages
    std::string agent; // endpoint of the agent that refused the offer last
    uint64_t ageMs = 0;
};

// The evacuation part of the /status of one entry or agent.
struct EvacuationReading {
    std::string endpoint; // IP:PORT that was read
    bool isEntry = false;
    bool isKnown = true; // false: an entry that does not know the orders
    uint64_t position = 0; // of the orders in the store
    std::set<std::string> evacuatedDomains; // of an agent: its own one, if it is evacuated
    std::string failureDomain; // of an agent; empty: not stated, by programs of the previous version
    std::optional<ReportedOffer> refusedOffer; // by an agent
    bool isUnconfirmed = false; // an entry that does not state its orders to agents; see maxEvacuationConfirmationAge
};

Result<EvacuationReading> readEvacuation(const std::string& endpoint, const boost::json::object& status);

// Where the order for one failure domain is in force.
struct DomainEvacuation {
    std::string domain;
    size_t entries = 0; // read
    size_t agents = 0; // read, of this domain
    size_t entriesInForce = 0;
    size_t agentsInForce = 0;
    std::map<uint64_t, std::vector<std::string>> positions; // endpoints where the order is in force, by position
    std::vector<std::string> missing; // descriptions of entries and agents without the order
    std::vector<ReportedOffer> offers; // of entries that still offer flows there
    std::vector<std::string> unconfirmed; // endpoints of entries where the order is in force, but unconfirmed

    // An unconfirmed order counts: its entry places no flow in the domain.
    bool isInForceEverywhere() const { return this->missing.empty(); }
};

struct EvacuationReport {
    std::vector<DomainEvacuation> domains; // by name
    std::vector<std::string> unassignedAgents; // endpoints of agents that state no failure domain

    // Whether there is an order, and each order is in force at all entries and all agents of its domain. Agents without
    // a domain may belong to any of these.
    bool isInForceEverywhere() const;
};

EvacuationReport compareEvacuations(const std::vector<EvacuationReading>&);

std::string toText(const EvacuationReport&); // several lines

} // namespace wasabicroft
