// Tests of the platform adapter: malformed packets and store items are rejected without a crash.
#include "platform/PacketLayout.h"
#include "platform/StoreWire.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wasabicroft::platform {
namespace {

    // Example packet of the platform's documentation.
    const std::vector<uint8_t> exampleSyn = { 0x10, 0, 0, 0, 0, 0, 0xc6, 0x12, 0, 1, 0x64, 0x40, 0, 7, 0x9c, 0x41, 1,
        0xbb, 0x11, 0x22, 0x33, 0x44, 0, 0, 0, 0, 0xa1, 0xb2, 0xc3, 0xd5, 0, 0, 0, 0, 0, 0 };

    TEST(PacketLayout, DecodesTheExample)
    {
        const Packet packet = decodePacket(exampleSyn).value();
        EXPECT_TRUE(packet.isSyn());
        EXPECT_EQ(toString(packet.source), "100.64.0.7:40001");
        EXPECT_EQ(toString(packet.destination), "198.18.0.1:443");
        EXPECT_EQ(packet.sequence, 0x11223344U);
        EXPECT_EQ(packet.payloadBytes, 0U);
    }

    TEST(PacketLayout, BuildsTheExampleOfAReset)
    {
        const std::vector<uint8_t> expected = { 0x20, 0, 0, 0, 0, 0, 0x64, 0x40, 0, 7, 0xc6, 0x12, 0, 1, 1, 0xbb, 0x9c,
            0x41, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0 };
        EXPECT_EQ(makeReset(decodePacket(exampleSyn).value().flowKeyFromClient(), 0), expected);
    }

    TEST(PacketLayout, RestoresABouncedPacket)
    {
        std::vector<uint8_t> bounced = exampleSyn;
        bounced[0] |= 1;
        bounced[3] = 9;
        bounced[31] = 7;
        restoreBouncedPacket(bounced);
        EXPECT_EQ(bounced, exampleSyn);
    }

    TEST(PacketLayout, RefusesWrongLengthsAndFlags)
    {
        for (size_t length = 0; length < exampleSyn.size(); ++length)
            EXPECT_FALSE(decodePacket(Bytes(exampleSyn).first(length)));
        std::vector<uint8_t> longer = exampleSyn;
        longer.push_back(0);
        EXPECT_FALSE(decodePacket(longer));
        std::vector<uint8_t> flags = exampleSyn;
        flags[0] = 0x12;
        EXPECT_FALSE(decodePacket(flags));
        flags[0] = 0x10 | 0x80;
        EXPECT_FALSE(decodePacket(flags));
    }

    // Guards against bytes from the network that crash a process or are decoded as a packet of another length.
    RC_GTEST_PROP(PacketLayout, RandomBytesAreRefusedOrDecoded, (const std::vector<uint8_t>& bytes))
    {
        const Result<Packet> packet = decodePacket(bytes);
        RC_ASSERT((!packet || packet.value().payloadBytes + packetHeaderBytes == bytes.size()));
        const Result<HopMessage> message = decodeHop(bytes);
        RC_ASSERT((!message || message.value().packet.size() + hopHeaderBytes == bytes.size()));
    }

    RC_GTEST_PROP(PacketLayout, DamagedHopMessagesAreRefusedOrDecoded, ())
    {
        HopMessage message;
        message.packet = exampleSyn;
        std::vector<uint8_t> bytes;
        encodeHop(message, bytes);
        bytes[*rc::gen::inRange<size_t>(0, bytes.size())] ^= *rc::gen::inRange<uint8_t>(1, 255);
        const Result<HopMessage> decoded = decodeHop(bytes);
        RC_ASSERT((!decoded || decoded.value().packet.size() == exampleSyn.size()));
    }

    //-----------------------------------------------------------------------------
    // [SECTION] Store
    //-----------------------------------------------------------------------------

    constexpr std::string_view upstreamValue // Base64 of a complete upstream item with born 123.
        = "eyJzZXJ2aWNlIjoiYXBpIiwiYWRkcmVzcyI6IjEwLjAuMC45OjgwODAiLCJ6b25lIjoieiIsInZlcnNpb24iOiJ2MSIsInNsb3RzIjoyLCJz"
          "dGF0ZSI6InJlYWR5IiwiY29sZF9sZWZ0X21zIjowLCJzZXFfbm8iOjQsImJvcm4iOjEyM30=";

    StoreRead listRead(StoreTopic topic)
    {
        StoreRead read;
        read.topic = topic;
        return read;
    }

    std::string itemOf(std::string_view key, std::string_view value)
    {
        return R"({"key":")" + std::string(key) + R"(","value":")" + std::string(value) + R"(","rev":7})";
    }

    TEST(StoreWire, DecodesUpstreamEntries)
    {
        const std::string body
            = R"({"items":[)" + itemOf("servers/i-1", upstreamValue) + R"(],"has_more":true,"store_revision":530})";
        const StoreResponse answer = decodeResponse(listRead(StoreTopic::Upstreams), body).value();
        ASSERT_EQ(answer.upstreams.size(), 1U);
        const UpstreamRecord& record = answer.upstreams[0];
        EXPECT_EQ(record.name, "i-1");
        EXPECT_EQ(record.born, 123);
        EXPECT_EQ(record.service, serviceIdOf("api"));
        EXPECT_EQ(toString(record.address), "10.0.0.9:8080");
        EXPECT_EQ(record.slots, 2U);
        EXPECT_EQ(record.revision, 7U);
        EXPECT_TRUE(answer.hasMore);
        EXPECT_EQ(answer.lastKey, "servers/i-1");
        EXPECT_EQ(answer.revision, 530U);
    }

    // Guards against a malformed item that is used or that hides the valid items of the same list.
    TEST(StoreWire, AMalformedItemHidesNoOther)
    {
        for (const std::string_view value : { "", "!!!!", "e30=", "eyJzZXJ2aWNlIjo1fQ==", "AAAA" }) {
            const std::string body = R"({"items":[)" + itemOf("servers/bad", value) + ','
                + itemOf("servers/i-1", upstreamValue) + R"(],"has_more":false,"store_revision":9})";
            const StoreResponse answer = decodeResponse(listRead(StoreTopic::Upstreams), body).value();
            EXPECT_EQ(answer.upstreams.size(), 1U);
            ASSERT_EQ(answer.removedUpstreams.size(), 1U);
            EXPECT_EQ(answer.removedUpstreams[0].first, "bad");
            EXPECT_EQ(answer.problems.size(), 1U);
        }
    }

    TEST(StoreWire, DecodesRoutes)
    {
        // {"version":7,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/8443/","service":"api","slo_ms":120,
        //  "timeout_ms":1500,"priority":2}],"limits":{"idle_timeout_ms":15000}}
        const std::string value
            = "eyJ2ZXJzaW9uIjo3LCJyb3V0ZXMiOlt7Im5hbWUiOiJyIiwiaG9zdCI6IjE5OC4xOC4wLjEiLCJwcmVmaXgiO"
              "iIvODQ0My8iLCJzZXJ2aWNlIjoiYXBpIiwic2xvX21zIjoxMjAsInRpbWVvdXRfbXMiOjE1MDAsInByaW9yaXR5Ijoy"
              "fV0sImxpbWl0cyI6eyJpZGxlX3RpbWVvdXRfbXMiOjE1MDAwfX0=";
        const std::string body = R"({"key":"op/config","value":")" + value + R"(","rev":3,"store_revision":9})";
        const StoreResponse answer = decodeResponse(listRead(StoreTopic::Routes), body).value();
        ASSERT_TRUE(answer.routes);
        EXPECT_EQ(answer.routes->version, 7U);
        EXPECT_EQ(answer.routes->idleTimeout, Milliseconds(15000));
        const Route* route = answer.routes->find(*parsePacketAddress("198.18.0.1:8443"));
        ASSERT_NE(route, nullptr);
        EXPECT_EQ(route->limits, (RequestLimits { Milliseconds(120), Milliseconds(1500), 2 }));
        EXPECT_EQ(route->shares.at(0).service, serviceIdOf("api"));
    }

    // Guards against sums of times that overflow, and against figures that wrap around in messages.
    TEST(StoreWire, LimitsOfRoutesAreBounded)
    {
        // {"version":7,"routes":[{"host":"198.18.0.1","prefix":"/443/","service":"api","slo_ms":9223372036854775807,
        //  "timeout_ms":9223372036854775807,"priority":4294967297}],"limits":{"idle_timeout_ms":9223372036854775807}}
        const std::string value
            = "eyJ2ZXJzaW9uIjo3LCJyb3V0ZXMiOlt7Imhvc3QiOiIxOTguMTguMC4xIiwicHJlZml4IjoiLzQ0My8iLCJzZXJ2aWNlIjoiYXBpIiwi"
              "c2xvX21zIjo5MjIzMzcyMDM2ODU0Nzc1ODA3LCJ0aW1lb3V0X21zIjo5MjIzMzcyMDM2ODU0Nzc1ODA3LCJwcmlvcml0eSI6NDI5NDk2"
              "NzI5N31dLCJsaW1pdHMiOnsiaWRsZV90aW1lb3V0X21zIjo5MjIzMzcyMDM2ODU0Nzc1ODA3fX0=";
        const std::string body = R"({"key":"op/config","value":")" + value + R"(","rev":3,"store_revision":9})";
        const StoreResponse answer = decodeResponse(listRead(StoreTopic::Routes), body).value();
        ASSERT_TRUE(answer.routes);
        constexpr Milliseconds day = std::chrono::hours(24);
        EXPECT_EQ(answer.routes->idleTimeout, day);
        const Route* route = answer.routes->find(*parsePacketAddress("198.18.0.1:443"));
        ASSERT_NE(route, nullptr);
        EXPECT_EQ(route->limits, (RequestLimits { day, day, 254 }));
    }

    TEST(StoreWire, RemovalsNameTheirRevision)
    {
        StoreRead watch = listRead(StoreTopic::Upstreams);
        watch.isWatch = true;
        const StoreResponse answer
            = decodeResponse(watch, R"({"events":[{"key":"servers/i-1","rev":8,"removed":true}],"store_revision":8})")
                  .value();
        ASSERT_EQ(answer.removedUpstreams.size(), 1U);
        EXPECT_EQ(answer.removedUpstreams[0].second, 8U);
    }

    // Guards against records of a restored store that count as older than what it lost.
    TEST(StoreWire, RevisionsAreOrderedByTheEraOfTheAnswer)
    {
        const std::string body
            = R"({"items":[)" + itemOf("servers/i-1", upstreamValue) + R"(],"has_more":false,"store_revision":9})";
        const StoreRead read = listRead(StoreTopic::Upstreams);
        const StoreResponse withoutEra = decodeResponse(read, body, "").value();
        EXPECT_EQ(withoutEra.revision, 9U);
        EXPECT_EQ(withoutEra.upstreams.at(0).revision, 7U);
        const StoreResponse answer = decodeResponse(read, body, "12").value();
        EXPECT_EQ(answer.revision, storePosition(12, 9));
        EXPECT_EQ(answer.upstreams.at(0).revision, storePosition(12, 7));
        EXPECT_GT(answer.upstreams.at(0).revision, decodeResponse(read, body, "11").value().revision);
        EXPECT_EQ(decodeEra("12").value(), storePosition(12, 0));
    }

    // Guards against a watch that asks the store for changes after a revision that it never had.
    TEST(StoreWire, AWatchAsksForChangesAfterThePlainRevision)
    {
        StoreRead watch = listRead(StoreTopic::Upstreams);
        watch.isWatch = true;
        watch.afterRevision = storePosition(3, 411);
        EXPECT_NE(requestTarget(watch).find("&after=411&"), std::string::npos) << requestTarget(watch);
    }

    // Guards against a position that wraps around and hides all later ones.
    TEST(StoreWire, AnswersWithoutAValidPositionAreRefused)
    {
        const auto bodyOf = [](uint64_t revision) {
            return R"({"items":[],"has_more":false,"store_revision":)" + std::to_string(revision) + '}';
        };
        const StoreRead read = listRead(StoreTopic::Upstreams);
        for (const std::string_view era :
            { "x", "-1", "1x", " 1", "1.5", "99999999999999999999", "18446744073709551615" })
            EXPECT_FALSE(decodeResponse(read, bodyOf(9), era)) << era;
        EXPECT_FALSE(decodeResponse(read, bodyOf(maxStoreRevision + 1), "1"));
        const std::string newestEra = std::to_string(maxStoreEra);
        EXPECT_EQ(decodeResponse(read, bodyOf(maxStoreRevision), newestEra).value().revision,
            storePosition(maxStoreEra, maxStoreRevision));
        EXPECT_FALSE(decodeResponse(read, bodyOf(9), std::to_string(maxStoreEra + 1)));
    }

    RC_GTEST_PROP(StoreWire, DamagedAnswersNeverCrash, ())
    {
        std::string body
            = R"({"items":[)" + itemOf("servers/i-1", upstreamValue) + R"(],"has_more":true,"store_revision":530})";
        for (int i = *rc::gen::inRange(1, 6); i > 0; --i)
            body[*rc::gen::inRange<size_t>(0, body.size())] = *rc::gen::inRange<char>(32, 126);
        for (const StoreTopic topic : { StoreTopic::Upstreams, StoreTopic::Routes }) {
            const Result<StoreResponse> answer = decodeResponse(listRead(topic), body);
            RC_ASSERT((!answer || answer.value().upstreams.size() <= 1));
        }
    }

} // namespace
} // namespace wasabicroft::platform
