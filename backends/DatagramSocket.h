// UDP socket that receives and sends datagrams in batches.
#pragma once

#include "wasabicroft/Packet.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <vector>

namespace wasabicroft {

class DatagramSocket {
public:
    // The handler may modify the bytes. They are valid only during the call.
    using Handler = std::function<void(PacketAddress source, std::span<uint8_t>)>;

    explicit DatagramSocket(boost::asio::io_context&);

    Result<PacketAddress> open(PacketAddress); // Returns the bound address.
    void start(Handler); // Calls the handler for each received datagram.
    void poll(); // Handles datagrams that have already arrived, without waiting.

    // Queues a datagram until the next flush. A full batch is flushed automatically.
    void send(PacketAddress destination, Bytes);
    void flush();

    // Called after each batch, when the handler has processed all its datagrams. May be empty.
    std::function<void()> onBatch;
    uint64_t sendFailures() const { return this->sendFailureCount; } // Datagrams that the kernel did not accept.

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
