// UDP socket that reads and writes datagrams in batches.
#pragma once

#include "wasabicroft/Packet.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <vector>

namespace wasabicroft {

class DatagramSocket {
public:
    // The bytes may be changed by the handler; they are valid during the call only.
    using Handler = std::function<void(PacketAddress source, std::span<uint8_t>)>;

    explicit DatagramSocket(boost::asio::io_context&);

    Result<PacketAddress> open(PacketAddress); // the address in use
    void start(Handler); // calls the handler for each datagram
    void poll(); // handles what has arrived without waiting

    // Queues a datagram for the next flush; flushes by itself when the batch is full.
    void send(PacketAddress destination, Bytes);
    void flush();

    std::function<void()> onBatch; // after the handler was called for all datagrams of a batch; may be empty
    uint64_t sendFailures() const { return this->sendFailureCount; } // datagrams that the kernel did not take

private:
    static constexpr size_t batchSize = 32;
    static constexpr size_t maxDatagramBytes = 2048;

    struct Outgoing {
        PacketAddress destination;
        std::vector<uint8_t> bytes;
    };

    void wait();
    void readBatches();
    size_t readBatch();

    boost::asio::ip::udp::socket socket;
    Handler handler;
    std::vector<std::array<uint8_t, maxDatagramBytes>> buffers;
    std::array<Outgoing, batchSize> outgoing;
    size_t outgoingCount = 0;
    uint64_t sendFailureCount = 0;
};

} // namespace wasabicroft
