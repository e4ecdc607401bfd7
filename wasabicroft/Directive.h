// Directives: what entries tell agents of the limits of their upstreams' new flows. No I/O.
//
// A directive is the second line of defence against entries that do not know an order. It is sent only where an order
// or a cold start calls for it.
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
};

// Decides which agents are told of evacuation orders and cold starts, and when.
class DirectiveSchedule {
public:
    DirectiveSchedule(DirectiveOptions, const Clock&);

    // Returns the failure domains whose order changed.
    std::set<std::string> setOrders(const EvacuationOrders&);

    // Whether an agent is to get a directive before it is offered a flow.
    bool isDueBeforeOffer(PacketAddress agent, const std::string& domain, bool isCold) const;
    void onSent(PacketAddress agent);

    void enqueue(const std::vector<PacketAddress>& agents); // their order changed
    std::vector<PacketAddress> takeQueued(size_t bytesPerDirective); // those that the budget admits now
    void onTick(); // forgets what is no longer needed

private:
    DirectiveOptions options;
    const Clock& clock;
    std::set<std::string> evacuated; // failure domains
    std::map<std::string, TimePoint> withdrawals; // by failure domain
    std::map<PacketAddress, TimePoint> lastSent; // by agent, within repeatInterval
    std::deque<PacketAddress> queued;
    double budget = 0; // bytes
    TimePoint budgetTime;
};

//-----------------------------------------------------------------------------
// [SECTION] Agent
//-----------------------------------------------------------------------------

// Whether the agent's upstream is evacuated, according to the newest directive.
class EvacuationNotice {
public:
    EvacuationNotice(Milliseconds lifetime, const Clock&);

    // Returns whether isEvacuated() changed. A directive with an older position, or without one, has no effect.
    bool onDirective(const UpstreamDirective&);
    bool onTick(); // returns whether the order was forgotten because no directive repeated it
    bool isEvacuated() const { return this->evacuated; }
    uint64_t position() const { return this->newestPosition; } // of the orders; 0: not known

private:
    Milliseconds lifetime;
    const Clock& clock;
    uint64_t newestPosition = 0; // kept when the order is forgotten: a late directive must not restore an older one
    bool evacuated = false;
    TimePoint lastDirective;
};

} // namespace wasabicroft
