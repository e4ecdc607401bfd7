#include "wasabicroft/Membership.h"

#include <algorithm>
#include <map>

namespace wasabicroft {

namespace {

    // Each ring has an independent order.
    uint64_t positionInRing(uint64_t hash, size_t ring) { return mixBits(hash + splitMixIncrement * (ring + 1)); }

    struct RankedMember {
        uint64_t hash = 0;
        const Member* member = nullptr;
    };

    std::vector<RankedMember> rankByHash(const std::vector<Member>& members)
    {
        std::vector<RankedMember> order;
        order.reserve(members.size());
        for (const Member& member : members)
            order.push_back({ hashName(member.name), &member });
        std::sort(order.begin(), order.end(), [](const RankedMember& a, const RankedMember& b) {
            return a.hash != b.hash ? a.hash > b.hash : a.member->name < b.member->name;
        });
        return order;
    }

} // namespace

std::vector<Member> selectWatchers(const std::vector<Member>& members, const WatcherOptions& options)
{
    std::map<std::string, size_t> selectedPerDomain;
    std::vector<Member> watchers;
    for (const RankedMember& entry : rankByHash(members)) {
        const Member& member = *entry.member;
        if (member.leaving || selectedPerDomain[member.failureDomain] >= options.watchersPerDomain)
            continue;
        ++selectedPerDomain[member.failureDomain];
        watchers.push_back(member);
    }
    return watchers;
}

std::vector<Member> announcePeers(
    const std::vector<Member>& members, const std::string& self, const WatcherOptions& options)
{
    const auto own
        = std::find_if(members.begin(), members.end(), [&](const Member& member) { return member.name == self; });
    if (own == members.end())
        return {};
    std::vector<uint64_t> hashes;
    hashes.reserve(members.size());
    for (const Member& member : members)
        hashes.push_back(hashName(member.name));
    const size_t ownIndex = static_cast<size_t>(own - members.begin());
    std::vector<Member> peers;
    for (size_t ring = options.announceFanOut; ring-- > 0;) {
        const bool isInDomain = ring < options.announceFanOutInDomain;
        const uint64_t ownPosition = positionInRing(hashes[ownIndex], ring);
        const Member* successor = nullptr;
        uint64_t minDistance = UINT64_MAX;
        for (size_t i = 0; i < members.size(); ++i) {
            if (i == ownIndex || (isInDomain && members[i].failureDomain != own->failureDomain))
                continue;
            const uint64_t distance = positionInRing(hashes[i], ring) - ownPosition; // Wraps around.
            if (!successor || distance < minDistance) {
                successor = &members[i];
                minDistance = distance;
            }
        }
        const bool isAlreadySelected = successor && std::any_of(peers.begin(), peers.end(), [&](const Member& peer) {
            return peer.name == successor->name;
        });
        if (successor && !isAlreadySelected)
            peers.push_back(*successor);
    }
    return peers;
}

} // namespace wasabicroft
