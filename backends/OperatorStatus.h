// What a process reports to its operators. Built by the traffic thread, read by the operator thread.
#pragma once

#include <memory>
#include <string>

namespace wasabicroft {

// Immutable once published.
struct OperatorStatus {
    bool ready = false; // accepts new work
    std::string notReadyCause; // empty if ready
    std::string json; // body of /status
};

using OperatorStatusPtr = std::shared_ptr<const OperatorStatus>;

} // namespace wasabicroft
