// Bounded single-producer, single-consumer queue from one thread of a process to another.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <functional>
#include <utility>

namespace wasabicroft {

// push() may be called by one thread only; the handler runs on the thread of the consumer's io_context. The ring must
// outlive the last run of that io_context.
template <typename Item> class Ring {
public:
    Ring(size_t capacity, boost::asio::io_context& consumer, std::function<void(Item&)> itemHandler)
        : queue(capacity)
        , context(consumer)
        , handler(std::move(itemHandler))
    {
    }

    // Returns false and counts an overflow if the ring is full; the item is dropped.
    bool push(Item item)
    {
        if (!this->queue.push(std::move(item))) {
            ++this->overflowCount;
            return false;
        }
        boost::asio::post(this->context, [this] { this->queue.consume_all(this->handler); });
        return true;
    }

    uint64_t overflows() const { return this->overflowCount; }

private:
    boost::lockfree::spsc_queue<Item> queue;
    boost::asio::io_context& context;
    std::function<void(Item&)> handler;
    std::atomic<uint64_t> overflowCount = 0;
};

} // namespace wasabicroft
