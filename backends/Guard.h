// Keeps a process running after an exception in a handler of its event loop.
#pragma once

#include "wasabicroft/Log.h"

#include <boost/asio/io_context.hpp>
#include <exception>
#include <string_view>

namespace wasabicroft {

// Calls the function. An exception is logged with the name of the handler. Returns whether there was none.
template <typename Function> bool runGuarded(std::string_view handler, const Function& function)
{
    try {
        function();
        return true;
    } catch (const std::exception& error) {
        logEvent(Event::HandlerFailed, { { "handler", handler }, { "reason", error.what() } });
        return false;
    }
}

// Runs the event loop until it is stopped or has no work left. The loop goes on after a handler that threw.
inline void runEventLoop(boost::asio::io_context& context)
{
    while (!runGuarded("event loop", [&context] { context.run(); })) { }
}

} // namespace wasabicroft
