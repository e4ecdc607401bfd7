// Which processes exist, which of them watch the platform directly, and which peers they tell about new versions.
// No I/O.
#pragma once

#include "wasabicroft/Clock.h"
#include "wasabicroft/Config.h"

#include <string>
#include <vector>

namespace wasabicroft {

enum class MemberRole : uint8_t { Entry, Agent };

inline constexpr std::array<std::string_view, 2> memberRoleNames = { "entry", "agent" };

// One row of the platform's instance list.
struct Member {
    std::string name;
    MemberRole role = MemberRole::Entry;
    std::string failureDomain;
    Endpoint control; // where it takes Announce, Fetch and Value frames
    bool leaving = false;
};

struct WatcherOptions {
    size_t watchersPerDomain = 5;
    size_t announceFanOut = 8; // peers told about a new version by each process
    size_t announceFanOutInDomain = 4; // of these, in the own failure domain
};

// Members that watch the platform: the highest rendezvous hashes of every failure domain. Every process that has the
// same list computes the same set.
std::vector<Member> selectWatchers(const std::vector<Member>& members, const WatcherOptions&);

// Peers to which self announces a new version, in the order in which they are to be told: those outside of the own
// failure domain first, because their paths are longer.
//
// Each of announceFanOut rings orders the members by a hash of its own, and self tells its successor in every ring.
// Every member therefore has as many predecessors as successors and is missed only if all of them are gone. The rings
// within the failure domain keep its members connected while the domain is cut off; the others do so while any other
// domain is cut off. A change of the list affects only the neighbours of the changed members.
std::vector<Member> announcePeers(const std::vector<Member>& members, const std::string& self, const WatcherOptions&);

} // namespace wasabicroft
