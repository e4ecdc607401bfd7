// Limits the messages by which an entry searches for the holders of flows to a share of its network link. No I/O.
//
// A full link delays the replies of agents beyond their timeouts, and the answers of the store. Both cause further
// messages, so that the link stays full after the fault that caused the searches is over.
#pragma once

#include "wasabicroft/Clock.h"

namespace wasabicroft {

struct LinkBudgetOptions {
    double bytesPerSecond = 1250000; // of the link, in each direction
    double share = 0.5; // of the link, for all messages to agents; searches get what the others leave
    double reservedShare = 0.1; // of the link, for searches only
    Milliseconds burst { 100 }; // longest time for which messages of searches may queue at the link
};

class LinkBudget {
public:
    LinkBudget(LinkBudgetOptions, const Clock&);

    void onMessage(size_t bytes); // a message other than those of searches
    void onSearchMessage(size_t bytes);

    // Searches that have begun go first: one without all answers was in vain.
    bool canStartSearch();
    bool canContinueSearch();

private:
    void refill();

    LinkBudgetOptions options;
    const Clock& clock;
    double shared = 0; // bytes that may be sent now; negative after more were sent
    double reserved = 0;
    TimePoint updated;
};

} // namespace wasabicroft
