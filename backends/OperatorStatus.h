// Status of a process for its operators, and answers to their questions. Built on the traffic thread, read on the
// operator thread.
#pragma once

#include <functional>
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

struct OperatorAnswer {
    unsigned httpStatus = 200;
    std::string json; // Body.
};

using OperatorQuestionHandler = std::function<OperatorAnswer(const std::string& target)>;

} // namespace wasabicroft
