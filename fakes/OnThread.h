// Runs functions on the thread of an io_context.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>

namespace wasabicroft::fakes {

// Runs the function, waits for it and returns its result. Deadlocks if called on the thread that runs the context.
template <typename Function> auto runOnThread(boost::asio::io_context& context, Function function)
{
    std::packaged_task<decltype(function())()> task(std::move(function));
    std::future<decltype(function())> result = task.get_future();
    boost::asio::post(context, [&task] { task(); });
    return result.get();
}

} // namespace wasabicroft::fakes
