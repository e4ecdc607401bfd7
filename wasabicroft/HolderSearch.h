// State of one search for the upstream that holds a flow. EntryRouter decides whom it asks and when it ends. No I/O.
#pragma once

#include "wasabicroft/Published.h"

namespace wasabicroft {

// An upstream that may hold a flow.
struct HolderCandidate {
    UpstreamId upstream;
    PacketAddress agent;
    Listing listing = Listing::Listed; // a removed one may still hold flows
    size_t failureDomain = 0; // number of its failure domain
};

// Which upstreams a search asks.
enum class SearchScope : uint8_t {
    Offered, // those that this entry offered the flow to; extended unless one of them answers soon
    Routed, // those of the services of the flow's route; extended to all once they have denied the flow
    RoutedButOne, // the same, except one that just returned a packet of the flow
    All, // also those of other services, to which an earlier configuration may have sent the flow
};

inline constexpr std::array<std::string_view, 4> searchScopeNames = { "offered", "routed", "routed-but-one", "all" };

inline std::string_view nameOf(SearchScope scope) { return searchScopeNames.at(static_cast<size_t>(scope)); }

// A search for the holder of a flow.
struct HolderSearch {
    struct Target {
        PacketAddress agent;
        Listing listing = Listing::Listed;
        size_t failureDomain = 0;
        bool agentIsUnsure = false; // it replied Unsure for this flow, or lately for another
        bool packetSent = false; // the upstream got the packet
        bool isHinted = false; // another entry has forwarded packets of the flow there
        bool denied = false; // the upstream doesn't hold the flow
        bool isGone = false; // removed for good, and its agent was silent for long: its silence counts as a denial
        bool returned = false; // the upstream returned a packet, perhaps in an earlier search: it gets no other
        unsigned resends = 0; // of the packet, after its agent was silent

        bool isNeeded() const { return this->listing != Listing::Removed && !this->returned; } // silence is no denial
        bool isAnswered() const { return this->agentIsUnsure || this->denied; }
    };

    std::vector<uint8_t> packet;
    std::vector<Target> targets; // preferred upstreams of the flow first
    unsigned askRounds = 0; // times that the agents were asked, without the packet
    unsigned packetRounds = 0; // times that upstreams got the packet, the preferred ones and the others as one
    TimePoint started;
    TimePoint due; // of its timer
    SearchScope scope = SearchScope::All;
    bool coversAllUpstreams = false; // every upstream that may hold the flow was known at the start
    bool beganBeforeListCheck = false; // the list of upstreams was not yet confirmed by entries that run
    uint64_t directoryRevision = 0; // at the start
    bool isDenied = false; // no listed upstream holds the flow; see EntryRouter::deniedSearches
    bool awaitsList = false; // all targets have denied the flow, but the list of upstreams may lack some
    bool isAbandoned = false; // it took too long; late answers still count, and its packet may wait for silent agents

    void addTarget(const HolderCandidate&); // unless its agent is a target
    Target* find(PacketAddress agent);
    bool isPacketSentToAny() const;
    bool isPacketSentToAll() const; // every target got the packet, denied the flow or returned a packet of it
    // The agent of an upstream that was removed for good may be gone: its answer is not needed.
    bool isAnsweredByAll() const; // each needed target denied the flow or has an unsure agent
    bool hasHint() const; // a target that has not denied the flow is hinted
    void forgetAnswers(); // of targets that got the packet
    size_t countUnanswered() const; // needed targets whose agents have not answered
    void markUnneededAsGone(); // those that have not denied the flow
    bool isDeniedByAllNeeded() const;
    bool isDeniedByAll() const; // except those that are gone
    bool awaitsUpstreamReply() const; // a needed upstream got the packet and has not denied the flow
    size_t countSilent(Listing) const; // targets in this state that have not denied the flow
    std::vector<PacketAddress> silentAgents() const; // of targets that have not denied the flow
};

} // namespace wasabicroft
