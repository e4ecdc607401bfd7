// Instance list, and the selection of the processes that watch the platform and of the peers that each process
// announces new versions to. No I/O.
#pragma once

#include "wasabicroft/Clock.h"
#include "wasabicroft/Config.h"

#include <string>
#include <vector>

namespace wasabicroft {

enum class MemberRole : uint8_t { Entry, Agent };

inline constexpr std::array<std::string_view, 2> memberRoleNames = { "entry", "agent" };

// One entry of the platform's instance list.
struct Member {
    std::string name;
    MemberRole role = MemberRole::Entry;
    std::string failureDomain;
    Endpoint control; // Accepts Announce, Fetch and Value frames.
    bool leaving = false;
};

struct WatcherOptions {
    size_t watchersPerDomain = 5;
    size_t announceFanOut = 8; // Peers to which each process announces a new version.
    size_t announceFanOutInDomain = 4; // Number of these peers that are in its own failure domain.
};

// Returns the members that watch the platform: those with the highest rendezvous hashes in each failure domain. All
// processes with the same list select the same members.
std::vector<Member> selectWatchers(const std::vector<Member>& members, const WatcherOptions&);

// Returns the peers to which self announces a new version, in sending order: peers outside of its failure domain come
// first because their paths are longer.
//
// There are announceFanOut rings, each of which orders the members by a different hash. A process announces to its
// successor in every ring. Every member therefore has as many predecessors as successors, and misses a version only if
// all predecessors are down. The rings within a failure domain keep its members connected while the domain is cut off;
// the other rings connect the members while any other domain is cut off. A change of the list affects only the
// neighbours of the changed members.
std::vector<Member> announcePeers(const std::vector<Member>& members, const std::string& self, const WatcherOptions&);

} // namespace wasabicroft
