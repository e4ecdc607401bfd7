// The agent of the packet path with its sockets: what it concludes from time after a pause of the process.
#include "backends/PacketAgent.h"
#include "fakes/PacketBytes.h"

#include <arpa/inet.h>
#include <boost/asio/ip/udp.hpp>
#include <gtest/gtest.h>

namespace wasabicroft::tests {
namespace {

    constexpr uint32_t loopback = 0x7f000001;
    constexpr PacketAddress routeAddress { 0xc6120001, 443 };
    constexpr uint32_t clientNetwork = 0x64400007;

    // An agent whose upstream and entry are sockets of the test. It reads its own sockets only when the test lets it.
    struct PacketAgentFixture : ::testing::Test {
        PacketAgentFixture()
            : upstream(this->loop, { boost::asio::ip::address_v4(loopback), 0 })
            , entry(this->loop, { boost::asio::ip::address_v4(loopback), 0 })
            , packets(freeAddress())
            , outbound(freeAddress())
            , agent(this->loop, settings(), this->clock)
        {
            EXPECT_TRUE(this->agent.start());
        }

        PacketAddress freeAddress()
        {
            boost::asio::ip::udp::socket probe(this->loop, { boost::asio::ip::address_v4(loopback), 0 });
            return { loopback, probe.local_endpoint().port() };
        }

        PacketSettings settings() const
        {
            PacketSettings result;
            result.packets = this->packets;
            result.outbound = this->outbound;
            result.upstream = { loopback, this->upstream.local_endpoint().port() };
            result.service = "shop";
            return result;
        }

        static boost::asio::ip::udp::endpoint endpointOf(PacketAddress address)
        {
            return { boost::asio::ip::address_v4(address.address), address.port };
        }

        void offer(uint16_t clientPort)
        {
            const std::vector<uint8_t> syn
                = fakes::makePacket({ clientNetwork, clientPort }, routeAddress, fakes::packet_flags::syn, 1000, 0, 0);
            HopMessage message;
            message.kind = HopKind::Offer;
            message.service = serviceIdOf("shop");
            message.packet = syn;
            std::vector<uint8_t> bytes;
            encodeHop(message, bytes);
            this->entry.send_to(boost::asio::buffer(bytes), endpointOf(this->packets));
        }

        void answer(uint16_t clientPort)
        {
            const std::vector<uint8_t> bytes = fakes::makePacket(routeAddress, { clientNetwork, clientPort },
                fakes::packet_flags::syn | fakes::packet_flags::ack, 500, 1001, 0);
            this->upstream.send_to(boost::asio::buffer(bytes), endpointOf(this->outbound));
        }

        void letAgentRead()
        {
            this->loop.restart();
            this->loop.poll();
        }

        ManualClock clock;
        boost::asio::io_context loop;
        boost::asio::ip::udp::socket upstream;
        boost::asio::ip::udp::socket entry;
        PacketAddress packets;
        PacketAddress outbound;
        PacketAgent agent;
    };

    // Guards against declaring an upstream down whose answers wait in the agent's socket after the process was stopped.
    TEST_F(PacketAgentFixture, AnswersThatHaveArrivedAreReadBeforeTimeoutsAreChecked)
    {
        constexpr std::array<uint16_t, 4> ports = { 1, 2, 3, 4 };
        for (const uint16_t port : ports)
            this->offer(port);
        this->letAgentRead();
        for (const uint16_t port : ports)
            this->answer(port);
        this->clock.advance(Milliseconds(150));
        this->agent.onTick();
        EXPECT_NE(this->agent.status().json.find("\"upstream\":\"up\""), std::string::npos)
            << this->agent.status().json;
    }

} // namespace
} // namespace wasabicroft::tests
