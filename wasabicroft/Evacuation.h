// Evacuations of failure domains that operators have ordered: no new flow may go to the upstreams of these domains. No
// I/O.
#pragma once

#include "wasabicroft/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace wasabicroft {

// The orders that an entry knows of, as of a position of the store.
struct EvacuationOrders {
    uint64_t position = 0; // at which the orders last changed; 0: not known
    std::set<std::string> domains; // failure domains that are evacuated

    bool operator==(const EvacuationOrders&) const = default;
};

// Above the number of failure domains of the largest fleet. The orders of one entry have to fit into its presence.
inline constexpr size_t maxEvacuatedDomains = 64;
inline constexpr size_t maxDomainNameBytes = 64;

// An entry whose orders nobody has confirmed for longer does not state them to agents: they may have been withdrawn.
// The time after which an agent forgets an order that is not repeated, and longer than the wait of a watch (20 s).
inline constexpr Milliseconds maxEvacuationConfirmationAge { 30000 };

// Whether text can be the name of a failure domain: printable ASCII without spaces and slashes, of limited length.
bool isDomainName(std::string_view text);

// The orders in force, from the store and from other entries. Changes may arrive in any order and repeatedly; nothing
// replaces what is known of a later position. Positions are those of StorePosition.h, so that what a restored store
// states replaces what its former era stated.
//
// Before the first list or statement of a peer the orders are not known, which is not the same as that there are none.
class EvacuationState {
public:
    // Single changes, as a watch reports them. Return whether the orders or their position changed.
    bool update(const std::string& domain, uint64_t position);
    bool remove(const std::string& domain, uint64_t position);

    // A complete list that the store gave out at this position. Returns whether the orders or their position changed.
    bool replace(std::set<std::string> domains, uint64_t position);

    // What another entry states. Returns whether the orders changed: what is stated for a position that is not later
    // than the known one is ignored.
    bool adoptFromPeer(const EvacuationOrders&);

    const EvacuationOrders& orders() const { return this->current; }
    bool isKnown() const { return this->current.position > 0; }

    // Whether a domain was left out for the limit and one that was taken has been withdrawn since: the list of the
    // store has to be read for the domain that takes its place. True once.
    bool takeReadRequest();
    size_t droppedDomains() const { return this->dropped; } // left out since the last list for the limit

private:
    bool isOutdated(const std::string& domain, uint64_t position) const;
    bool setAll(std::set<std::string> domains, uint64_t position);

    EvacuationOrders current;
    uint64_t listPosition = 0; // of the last list or statement of a peer: earlier changes are part of it
    std::map<std::string, uint64_t> changes; // later ones by domain, with their positions
    size_t dropped = 0;
    bool needsRead = false;
};

// How long ago the orders that an entry knows were last confirmed, by the store or by another entry.
class EvacuationConfirmation {
public:
    explicit EvacuationConfirmation(const Clock& pauseClock); // see BootClock: the age includes pauses

    // The store confirmed this long ago that the entry's copy of the topic Routes is complete up to a position. A copy
    // that is older than the orders, which a peer stated, confirms nothing.
    void onStoreConfirmed(uint64_t completePosition, Duration age, const EvacuationOrders& known);
    // Another entry stated its position. The message may have waited since the last call of onPolled().
    void onPeerStated(uint64_t position, const EvacuationOrders& known);
    void onPolled(); // all messages that have arrived were handled

    std::optional<Duration> age() const; // empty: never confirmed

private:
    const Clock& clock;
    TimePoint lastPoll;
    std::optional<TimePoint> confirmed;
};

} // namespace wasabicroft
