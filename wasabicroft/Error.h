// Error and result types. An error message says what is wrong and how to fix it.
#pragma once

#include <array>
#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <string>
#include <string_view>

namespace wasabicroft {

enum class ErrorKind : uint8_t {
    InvalidSetting, // A command-line flag or an environment variable is invalid.
    InvalidConfig, // A base file, an overlay or a published value is invalid.
    InvalidFrame, // Bytes from a peer are not a valid frame.
    Unreachable, // A peer or the platform did not answer.
    SystemCall, // The operating system refused a request.
    LimitExceeded, // A bounded resource is full.
};

inline constexpr std::array<std::string_view, 6> errorKindNames
    = { "invalid-setting", "invalid-config", "invalid-frame", "unreachable", "system-call", "limit-exceeded" };

struct Error {
    ErrorKind kind = ErrorKind::SystemCall;
    std::string message; // What is wrong and how to fix it.
};

inline std::string_view nameOf(ErrorKind kind) { return errorKindNames.at(static_cast<size_t>(kind)); }

// Reading the value of a failed result is a programming error and terminates the process.
template <typename Value>
using Result = boost::outcome_v2::basic_result<Value, Error, boost::outcome_v2::policy::terminate>;

} // namespace wasabicroft
