// Directives: what entries tell agents of the limits of their upstreams' new flows. No I/O.
//
// A directive is the second line of defence against entries that do not know an order. It is sent only where an order
// or a cold start calls for it. Agents expire orders that no directive repeats, so entries refresh those in force. An
// entry that cannot know whether its orders are in force states none.
//
// Index
//   [SECTION] Entry
//   [SECTION] Agent
#pragma once

#include "wasabicroft/Clock.h"
#include "wasabicroft/Evacuation.h"
#include "wasabicroft/Packet.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Entry
//-----------------------------------------------------------------------------

struct DirectiveOptions {
    Milliseconds repeatInterval { 1000 }; // an agent that is offered flows gets a directive this often
    Milliseconds withdrawalNotice { 60000 }; // for how long agents are told that an order was withdrawn
    // Of directives that are due because an order changed: the control budget of an entry, less its load reports. One
    // second of it is sent at once.
    double bytesPerSecond = 2000;
    bool refreshesOrders = true; // false: agents expire orders that are in force, for comparison
    Milliseconds refreshInterval { 10000 }; // a third of the time after which an agent expires an order
    size_t refreshingEntries = 3; // for each agent: the loss of one or two of them ends no order
    bool needsConfirmation = true; // false: orders are stated whatever the age of their confirmation, for comparison
    Milliseconds maxConfirmationAge = maxEvacuationConfirmationAge;
};

// The position of an entry, from 0, among those that refresh the orders of an agent; empty if it is none of them. All
// entries that know the same others agree on it.
std::optional<size_t> refreshRank(
    PacketAddress agent, uint32_t entry, const std::vector<PacketAddress>& otherEntries, size_t maxEntries);

// Decides which agents are told of evacuation orders and cold starts, and when.
class DirectiveSchedule {
public:
    DirectiveSchedule(DirectiveOptions, const Clock&);

    // Returns the failure domains whose order changed.
    std::set<std::string> setOrders(const EvacuationOrders&);

    // How long ago the orders were confirmed; empty: never. Call before each use. While the confirmation is too old, no
    // directive states the orders, and those about changes and refreshes wait.
    void setConfirmationAge(std::optional<Duration>);
    bool statesOrders() const { return this->isConfirmed; }

    // Whether an agent is to get a directive before it is offered a flow.
    bool isDueBeforeOffer(PacketAddress agent, const std::string& domain, bool isCold) const;
    void onSent(PacketAddress agent, const std::string& domain);

    void enqueue(const std::vector<PacketAddress>& agents); // their order changed
    // Agents that this entry refreshes, with its rank for each of them. Others get no further refresh.
    void setRefreshed(const std::map<PacketAddress, size_t>& ranks);
    std::vector<PacketAddress> takeQueued(size_t bytesPerDirective); // those that are due and the budget admits now
    void onTick(); // forgets what is no longer needed

    // Whether the agent was sent a directive since the order of this domain came into force.
    bool isDirected(PacketAddress agent, const std::string& domain) const;

private:
    struct Refresh {
        size_t rank = 0; // of this entry
        TimePoint due;
    };

    std::optional<PacketAddress> takeNext();
    Duration phaseOf(size_t rank) const;
    void scheduleRefresh(PacketAddress agent, Duration delay);

    DirectiveOptions options;
    const Clock& clock;
    std::set<std::string> evacuated; // failure domains
    std::map<std::string, TimePoint> withdrawals; // by failure domain
    std::map<PacketAddress, TimePoint> lastSent; // by agent, within repeatInterval
    std::map<std::string, std::set<PacketAddress>> directed; // agents by evacuated domain, see isDirected()
    std::deque<PacketAddress> queued;
    std::map<PacketAddress, Refresh> refreshes;
    std::set<std::pair<TimePoint, PacketAddress>> refreshOrder; // by due time
    bool isRefreshNext = false; // if refreshes and changes are both due
    bool isConfirmed = true; // see setConfirmationAge()
    double budget = 0; // bytes
    TimePoint budgetTime;
};

//-----------------------------------------------------------------------------
// [SECTION] Agent
//-----------------------------------------------------------------------------

struct RefusedOffer {
    PacketAddress entry;
    TimePoint time;
};

// Whether the agent's upstream is evacuated, according to the newest directive.
class EvacuationNotice {
public:
    EvacuationNotice(Milliseconds lifetime, const Clock&);

    // Returns whether isEvacuated() changed. A directive with an older position, or without one, has no effect.
    bool onDirective(const UpstreamDirective&);
    bool onTick(); // returns whether the order was forgotten because no directive repeated it
    bool isEvacuated() const { return this->evacuated; }
    uint64_t position() const { return this->newestPosition; } // of the orders; 0: not known

    void onOfferRefused(PacketAddress entry) { this->refusedOffer = { entry, this->clock.now() }; }
    const std::optional<RefusedOffer>& lastRefusedOffer() const { return this->refusedOffer; }

private:
    Milliseconds lifetime;
    const Clock& clock;
    uint64_t newestPosition = 0; // kept when the order is forgotten: a late directive must not restore an older one
    bool evacuated = false;
    TimePoint lastDirective;
    std::optional<RefusedOffer> refusedOffer; // the last one that was refused because of an order
};

} // namespace wasabicroft
