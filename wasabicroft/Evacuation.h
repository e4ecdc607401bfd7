// Evacuations of failure domains that operators have ordered: no new flow may go to the upstreams of these domains. No
// I/O.
#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace wasabicroft {

// The orders that an entry knows of, as of a position of the store.
struct EvacuationOrders {
    uint64_t position = 0; // at which the orders last changed; 0: not known
    std::set<std::string> domains; // failure domains that are evacuated

    bool operator==(const EvacuationOrders&) const = default;
};

} // namespace wasabicroft
