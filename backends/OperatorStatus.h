// Status of a process for its operators. Built on the traffic thread, read on the operator thread.
#pragma once

#include <memory>
#include <string>

namespace wasabicroft {

// Immutable once published.
struct OperatorStatus {
    bool ready = false; // New work is accepted.
    std::string notReadyCause; // Empty if ready.
    std::string json; // Body of /status.
};

using OperatorStatusPtr = std::shared_ptr<const OperatorStatus>;

} // namespace wasabicroft
