#include "backends/DatagramSocket.h"

#include "backends/Guard.h"

#include <netinet/in.h>
#include <sys/socket.h>

namespace wasabicroft {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    constexpr int receiveBufferBytes = 1024 * 1024; // Holds datagrams during a short pause of the process.
    constexpr size_t maxBatchesPerWait = 4; // Afterwards other handlers of the event loop run.

    sockaddr_in toSockaddr(PacketAddress address)
    {
        sockaddr_in native {};
        native.sin_family = AF_INET;
        native.sin_addr.s_addr = htonl(address.address);
        native.sin_port = htons(address.port);
        return native;
    }

    PacketAddress fromSockaddr(const sockaddr_in& native)
    {
        return { ntohl(native.sin_addr.s_addr), ntohs(native.sin_port) };
    }

} // namespace

DatagramSocket::DatagramSocket(asio::io_context& context)
    : socket(context)
    , buffers(batchSize)
{
}

Result<PacketAddress> DatagramSocket::open(PacketAddress address)
{
    const asio::ip::udp::endpoint endpoint(asio::ip::address_v4(address.address), address.port);
    error_code error;
    this->socket.open(asio::ip::udp::v4(), error);
    if (!error)
        this->socket.bind(endpoint, error);
    if (error)
        return Error { ErrorKind::SystemCall,
            "can't bind UDP " + toString(address) + ": " + error.message()
                + "; free the address or change the setting" };
    error_code ignored; // A smaller receive buffer is acceptable.
    this->socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
    this->socket.non_blocking(true, error);
    if (error)
        return Error { ErrorKind::SystemCall,
            "can't make the UDP socket non-blocking: " + error.message() + "; report it" };
    const asio::ip::udp::endpoint bound = this->socket.local_endpoint(error);
    return PacketAddress { address.address, error ? address.port : bound.port() };
}

void DatagramSocket::start(Handler datagramHandler)
{
    this->handler = std::move(datagramHandler);
    this->wait();
}

void DatagramSocket::poll() { this->readBatches(); }

void DatagramSocket::wait()
{
    this->socket.async_wait(asio::socket_base::wait_read, [this](error_code error) {
        if (error)
            return;
        runGuarded("datagrams", [this] { this->readBatches(); });
        this->wait();
    });
}

void DatagramSocket::readBatches()
{
    for (size_t i = 0; i < maxBatchesPerWait; ++i) {
        const size_t count = this->readBatch();
        if (this->onBatch)
            this->onBatch();
        this->flush();
        if (count < batchSize)
            return;
    }
}

size_t DatagramSocket::readBatch()
{
    std::array<mmsghdr, batchSize> messages {};
    std::array<iovec, batchSize> vectors {};
    std::array<sockaddr_in, batchSize> sources {};
    for (size_t i = 0; i < batchSize; ++i) {
        vectors[i] = { this->buffers[i].data(), maxDatagramBytes };
        messages[i].msg_hdr.msg_name = &sources[i];
        messages[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
        messages[i].msg_hdr.msg_iov = &vectors[i];
        messages[i].msg_hdr.msg_iovlen = 1;
    }
    const int count = recvmmsg(this->socket.native_handle(), messages.data(), batchSize, 0, nullptr);
    if (count < 0)
        return 0; // No datagram, or an ICMP error because a peer's port has no listener.
    for (size_t i = 0; i < static_cast<size_t>(count); ++i) {
        runGuarded("datagram", [&] {
            this->handler(fromSockaddr(sources[i]), std::span<uint8_t>(this->buffers[i].data(), messages[i].msg_len));
        });
    }
    return static_cast<size_t>(count);
}

void DatagramSocket::send(PacketAddress destination, Bytes bytes)
{
    if (this->outgoingCount == batchSize)
        this->flush();
    Outgoing& datagram = this->outgoing[this->outgoingCount++];
    datagram.destination = destination;
    datagram.bytes.assign(bytes.begin(), bytes.end());
}

void DatagramSocket::flush()
{
    std::array<mmsghdr, batchSize> messages {};
    std::array<iovec, batchSize> vectors {};
    std::array<sockaddr_in, batchSize> destinations {};
    for (size_t i = 0; i < this->outgoingCount; ++i) {
        destinations[i] = toSockaddr(this->outgoing[i].destination);
        vectors[i] = { this->outgoing[i].bytes.data(), this->outgoing[i].bytes.size() };
        messages[i].msg_hdr.msg_name = &destinations[i];
        messages[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
        messages[i].msg_hdr.msg_iov = &vectors[i];
        messages[i].msg_hdr.msg_iovlen = 1;
    }
    size_t sent = 0;
    while (sent < this->outgoingCount) {
        const int count = sendmmsg(
            this->socket.native_handle(), messages.data() + sent, static_cast<unsigned>(this->outgoingCount - sent), 0);
        if (count > 0) {
            sent += static_cast<size_t>(count);
            continue;
        }
        ++this->sendFailureCount;
        ++sent; // The first datagram of the remaining ones failed; skip it.
    }
    this->outgoingCount = 0;
}

} // namespace wasabicroft
