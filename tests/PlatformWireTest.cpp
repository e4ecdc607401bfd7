// Tests of the platform adapter: malformed packets and store items are rejected without a crash.
#include "platform/PacketLayout.h"
#include "platform/StoreWire.h"

#include <boost/beast/core/detail/base64.hpp>
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

    //-----------------------------------------------------------------------------
    // [SECTION] Entries of other writers
    //-----------------------------------------------------------------------------

    std::string base64(const std::string& text)
    {
        namespace codec = boost::beast::detail::base64;
        std::string encoded(codec::encoded_size(text.size()), '\0');
        encoded.resize(codec::encode(encoded.data(), text.data(), text.size()));
        return encoded;
    }

    // Guards against taking a service without routes for one that the configuration does not name: its upstreams may
    // hold flows that opened before a route went to another service.
    TEST(StoreWire, ServicesWithoutRoutesAreNamed)
    {
        const std::string value = base64(R"({"version":3,"services":[{"name":"a"},{"name":"b"},{"name":7},null],
            "routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/","service":"a"}]})");
        const std::string body = R"({"key":"op/config","value":")" + value + R"(","rev":3,"store_revision":9})";
        const StoreResponse answer = decodeResponse(listRead(StoreTopic::Routes), body).value();
        ASSERT_TRUE(answer.routes);
        EXPECT_EQ(answer.routes->services(), (std::set<ServiceId> { serviceIdOf("a"), serviceIdOf("b") }));
    }

    // A complete upstream entry in which one field has another JSON value; without the field if that is empty.
    std::string entryWith(const std::string& field, const std::string& json)
    {
        const std::vector<std::pair<std::string, std::string>> fields = { { "service", R"("api")" },
            { "address", R"("10.0.0.9:8080")" }, { "zone", R"("z")" }, { "version", R"("v1")" }, { "slots", "2" },
            { "state", R"("ready")" }, { "cold_left_ms", "0" }, { "seq_no", "4" }, { "born", "123" } };
        std::string text;
        for (const auto& [name, value] : fields) {
            const std::string& chosen = name == field ? json : value;
            if (chosen.empty())
                continue;
            text += text.empty() ? '{' : ',';
            text.append("\"").append(name).append("\":").append(chosen);
        }
        return text + '}';
    }

    std::string nested(size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); }

    // The answer to a read of the list or to a watch with these items.
    std::string bodyOf(bool isWatch, const std::string& items)
    {
        return std::string(isWatch ? R"({"events":[)" : R"({"items":[)") + items
            + R"(],"has_more":false,"store_revision":9})";
    }

    std::string routesEvent(const std::string& value, int revision)
    {
        return R"({"key":"op/config","value":")" + base64(value) + R"(","rev":)" + std::to_string(revision) + '}';
    }

    StoreRead routesWatch()
    {
        StoreRead read = listRead(StoreTopic::Routes);
        read.isWatch = true;
        return read;
    }

    // Guards against an entry that decodes every version of a storm of changes, although the last one replaces them
    // all.
    TEST(StoreWire, OnlyTheNewestConfigurationOfAWatchIsDecoded)
    {
        const std::string withProblem = routesEvent(R"({"version":4,"routes":[{"name":"without address"}]})", 4);
        const std::string newest = routesEvent(R"({"version":5,"routes":[]})", 5);
        const StoreResponse answer = decodeResponse(routesWatch(), bodyOf(true, withProblem + ',' + newest)).value();
        ASSERT_TRUE(answer.routes);
        EXPECT_EQ(answer.routes->version, 5U);
        EXPECT_TRUE(answer.problems.empty());
    }

    // Guards against a valid version that is lost because an invalid one follows it in the same answer.
    TEST(StoreWire, AnInvalidConfigurationDoesNotHideTheValidOneBeforeIt)
    {
        const std::string valid = routesEvent(R"({"version":5,"routes":[]})", 5);
        const std::string invalid = routesEvent("not JSON", 6);
        const StoreResponse answer = decodeResponse(routesWatch(), bodyOf(true, valid + ',' + invalid)).value();
        ASSERT_TRUE(answer.routes);
        EXPECT_EQ(answer.routes->version, 5U);
        EXPECT_EQ(answer.problems.size(), 1U);
    }

    StoreRead upstreamRead(bool isWatch)
    {
        StoreRead read = listRead(StoreTopic::Upstreams);
        read.isWatch = isWatch;
        return read;
    }

    // Whether an upstream entry with this value is used, as decoded beside a valid one, which has to be used.
    bool isUsed(const std::string& value)
    {
        const std::string items
            = itemOf("servers/odd", base64(value)) + ',' + itemOf("servers/i-1", std::string(upstreamValue));
        const Result<StoreResponse> answer = decodeResponse(upstreamRead(false), bodyOf(false, items));
        EXPECT_TRUE(answer) << value;
        if (!answer)
            return false;
        const std::vector<UpstreamRecord>& upstreams = answer.value().upstreams;
        EXPECT_FALSE(upstreams.empty()) << value;
        EXPECT_EQ(upstreams.empty() ? "" : upstreams.back().name, "i-1") << value;
        const bool isListed = upstreams.size() == 2;
        EXPECT_EQ(answer.value().problems.size(), isListed ? 0U : 1U) << value;
        return isListed;
    }

    // Guards against a process that ends on a deeply nested value, and against a list that it makes unreadable.
    TEST(StoreWire, ADeeplyNestedValueIsNotUsed)
    {
        for (const size_t levels : { 31U, 33U, 1000U, 100000U }) {
            EXPECT_FALSE(isUsed(nested(levels)));
            EXPECT_FALSE(isUsed(std::string(levels, '[')));
            EXPECT_FALSE(isUsed(entryWith("zone", nested(levels))));
        }
    }

    // Guards against a list or watch that is not followed any more because one item of it can't be parsed.
    TEST(StoreWire, AnUnreadableItemHidesNoOther)
    {
        const std::string valid = itemOf("servers/i-1", upstreamValue);
        const std::string unpairedSurrogate = R"({"key":"servers/\udcff","value":"","rev":7})";
        const std::string wrongUtf8 = "{\"key\":\"servers/\xff\xfe\",\"value\":\"\",\"rev\":7}";
        const std::string hugeExponent = R"({"key":"servers/odd","value":"","rev":7,"x":1e99999999999})";
        const std::string bracketsInText = R"({"key":"servers/]}\"[{","value":"","rev":7,"x":)" + nested(40) + '}';
        const std::string deep = R"({"key":"servers/odd","value":"","rev":7,"x":)" + nested(100000) + '}';
        for (const std::string& odd : { unpairedSurrogate, wrongUtf8, hugeExponent, bracketsInText, deep }) {
            for (const bool isWatch : { false, true }) {
                for (const bool isFirst : { false, true }) {
                    const std::string items
                        = std::string(isFirst ? odd : valid).append(",").append(isFirst ? valid : odd);
                    const Result<StoreResponse> answer = decodeResponse(upstreamRead(isWatch), bodyOf(isWatch, items));
                    EXPECT_TRUE(answer) << odd.substr(0, 80);
                    if (!answer)
                        continue;
                    ASSERT_EQ(answer.value().upstreams.size(), 1U);
                    EXPECT_EQ(answer.value().upstreams[0].name, "i-1");
                    EXPECT_EQ(answer.value().problems.size(), 1U);
                }
            }
        }
    }

    // Guards against numbers that wrap around or are cut to a valid one.
    TEST(StoreWire, ANumberOutOfRangeIsNotUsed)
    {
        for (const std::string number :
            { "1e30", "1e400", "-1", "-1e400", "1.5", "18446744073709551615", "18446744073709551616",
                "9223372036854775808", "1e99999999999", "\"4\"", "true", "null", "[]", "{}" }) {
            EXPECT_FALSE(isUsed(entryWith("slots", number))) << number;
            EXPECT_FALSE(isUsed(entryWith("born", number))) << number;
            const std::string item = R"({"key":"servers/odd","value":")" + std::string(upstreamValue) + R"(","rev":)"
                + number + "}," + itemOf("servers/i-1", upstreamValue);
            const Result<StoreResponse> answer = decodeResponse(upstreamRead(false), bodyOf(false, item));
            ASSERT_TRUE(answer) << number;
            EXPECT_EQ(answer.value().upstreams.size(), 1U) << number;
            const std::string body = R"({"items":[],"has_more":false,"store_revision":)" + number + '}';
            EXPECT_FALSE(decodeResponse(upstreamRead(false), body)) << number;
        }
        EXPECT_FALSE(isUsed(entryWith("slots", "0")));
        EXPECT_FALSE(isUsed(entryWith("slots", "65536")));
        EXPECT_TRUE(isUsed(entryWith("slots", "65535")));
        EXPECT_TRUE(isUsed(entryWith("slots", "4.0")));
        EXPECT_TRUE(isUsed(entryWith("born", "1796457600000")));
    }

    // Guards against flows that are offered to, and searched at, addresses where no host can be.
    TEST(StoreWire, AnAddressWithoutHostIsNotUsed)
    {
        for (const std::string address : { "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999999999", "10.0.0.9:-1",
                 "10.0.0.9", "10.0.0.9:", ":80", "", "[::1]:80", "::1", "host.example:80", "localhost:80", "0.0.0.0:80",
                 "255.255.255.255:80", "224.0.0.1:80", "239.255.255.255:80", "010.0.0.9:80", "10.0.0.009:80",
                 "10.0.0.9:0080", " 10.0.0.9:80", "10.0.0.9:80 ", "10.0.0.9: 80", "10.0.0:80", "10.0.0.0.9:80",
                 "256.0.0.1:80", "10.0.0.9:80/x", "+10.0.0.9:80", "0x0a.0.0.9:80" })
            EXPECT_FALSE(isUsed(entryWith("address", '"' + address + '"'))) << address;
        for (const std::string address : { "10.0.0.9:1", "10.0.0.0:65535", "198.18.0.1:443", "127.0.0.2:8080" })
            EXPECT_TRUE(isUsed(entryWith("address", '"' + address + '"'))) << address;
    }

    // Guards against entries of other writers that are taken for hosts: one of a host has all fields of its type.
    TEST(StoreWire, AnEntryWithoutAFieldOrWithOneOfAnotherTypeIsNotUsed)
    {
        EXPECT_TRUE(isUsed(entryWith("", "")));
        for (const std::string field :
            { "service", "address", "zone", "version", "slots", "state", "cold_left_ms", "seq_no", "born" }) {
            for (const std::string json : { "", "null", "true", "[]", "{}", "[4]" })
                EXPECT_FALSE(isUsed(entryWith(field, json))) << field << ' ' << json;
        }
        for (const std::string field : { "service", "address", "zone", "state" })
            EXPECT_FALSE(isUsed(entryWith(field, "4"))) << field;
        for (const std::string field : { "slots", "cold_left_ms", "seq_no", "born" })
            EXPECT_FALSE(isUsed(entryWith(field, "\"4\""))) << field;
        EXPECT_FALSE(isUsed(entryWith("state", "\"odd\"")));
        EXPECT_FALSE(isUsed(entryWith("state", "\"READY\"")));
        EXPECT_TRUE(isUsed(entryWith("state", "\"draining\"")));
        EXPECT_TRUE(isUsed(entryWith("cold_left_ms", "12.5")));
    }

    // Guards against odd figures that count as a cold time, and against losing the record because of them.
    TEST(StoreWire, ColdTimesAreDecodedUnlessTheyAreOdd)
    {
        const auto coldLeft = [](const std::string& json) {
            const std::string body = R"({"items":[{"key":"servers/h","value":")"
                + base64(entryWith("cold_left_ms", json)) + R"(","rev":3}],"has_more":false,"store_revision":9})";
            return decodeResponse(listRead(StoreTopic::Upstreams), body).value().upstreams.at(0).coldLeft;
        };
        EXPECT_EQ(coldLeft("0"), Milliseconds(0));
        EXPECT_EQ(coldLeft("8000"), Milliseconds(8000));
        EXPECT_EQ(coldLeft("12.5"), Milliseconds(13));
        EXPECT_EQ(coldLeft("86400000"), Milliseconds(86400000));
        for (const std::string odd : { "-1", "-0.5", "86400001", "1e300", "9223372036854775807" })
            EXPECT_EQ(coldLeft(odd), Milliseconds(0)) << odd;
    }

    // Guards against odd figures of a service that limit its upstreams, and against losing the service because of them.
    TEST(StoreWire, ColdStartsOfServicesAreDecodedUnlessTheyAreOdd)
    {
        const auto coldStart = [](const std::string& fields) -> std::optional<ColdStart> {
            const std::string value = base64(R"({"version":3,"services":[{"name":"a")" + fields + R"(}],
                "routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/","service":"a"}]})");
            const std::string body = R"({"key":"op/config","value":")" + value + R"(","rev":3,"store_revision":9})";
            const StoreResponse answer = decodeResponse(listRead(StoreTopic::Routes), body).value();
            EXPECT_TRUE(answer.routes->listedServices.contains(serviceIdOf("a")));
            const auto found = answer.routes->coldStarts.find(serviceIdOf("a"));
            return found == answer.routes->coldStarts.end() ? std::nullopt : std::optional(found->second);
        };
        constexpr Milliseconds day { 86400000 };
        EXPECT_EQ(coldStart(R"(,"cold_start_s":8,"cold_per_s":6)"), (ColdStart { Milliseconds(8000), 6 }));
        EXPECT_EQ(coldStart(R"(,"cold_start_s":1.5,"cold_per_s":6.9)"), (ColdStart { Milliseconds(1500), 6 }));
        for (const std::string odd : { "0.9", "0", "-3", "\"6\"", "null", "1e300" })
            EXPECT_EQ(coldStart(R"(,"cold_start_s":8,"cold_per_s":)" + odd), (ColdStart { Milliseconds(8000), 0 }))
                << odd;
        for (const std::string odd : { "-1", "86401", "\"8\"", "null", "1e300" })
            EXPECT_EQ(coldStart(R"(,"cold_per_s":6,"cold_start_s":)" + odd), (ColdStart { day, 6 })) << odd;
        EXPECT_EQ(coldStart(R"(,"cold_start_s":0,"cold_per_s":6)"), std::nullopt);
        EXPECT_EQ(coldStart(R"(,"cold_start_s":-1,"cold_per_s":-1)"), std::nullopt);
        EXPECT_EQ(coldStart(""), std::nullopt);
    }

    // Guards against a host without a name: each one registers under its id.
    TEST(StoreWire, AnEntryWithoutANameIsNotUsed)
    {
        const std::string items = itemOf("servers/", upstreamValue) + ',' + itemOf("servers/i-1", upstreamValue);
        const StoreResponse answer = decodeResponse(upstreamRead(false), bodyOf(false, items)).value();
        ASSERT_EQ(answer.upstreams.size(), 1U);
        EXPECT_EQ(answer.upstreams[0].name, "i-1");
        EXPECT_EQ(answer.problems.size(), 1U);
    }

    // Guards against a last key of a page that ends the paging, starts it anew or makes the request invalid.
    TEST(StoreWire, TheKeyAfterWhichAPageBeginsIsEncoded)
    {
        StoreRead read = upstreamRead(false);
        read.pageAfter = "servers/a-Z.0_~/";
        EXPECT_EQ(requestTarget(read), "/-/kv-range?prefix=servers/&after=servers/a-Z.0_~/");
        read.pageAfter = "servers/&after=x y%2f+#?=\"\r\n\x7f\xff";
        EXPECT_EQ(requestTarget(read),
            "/-/kv-range?prefix=servers/&after=servers/%26after%3Dx%20y%252f%2B%23%3F%3D%22%0D%0A%7F%FF");
    }

    // Guards against a list that is read over and over, without pause, because a page does not lead to the next one.
    TEST(StoreWire, APageThatDoesNotLeadOnIsAnError)
    {
        StoreRead read = upstreamRead(false);
        read.pageAfter = "servers/i-1";
        const std::string item = itemOf("servers/i-1", upstreamValue);
        const auto body = [](const std::string& items, const std::string& hasMore) {
            return R"({"items":[)" + items + R"(],"has_more":)" + hasMore + R"(,"store_revision":9})";
        };
        EXPECT_FALSE(decodeResponse(read, body("", "true")));
        EXPECT_FALSE(decodeResponse(read, body(item, "true"))) << "the key does not advance";
        EXPECT_FALSE(decodeResponse(upstreamRead(false), body("", "true")));
        EXPECT_FALSE(decodeResponse(upstreamRead(false), body("1,null", "true")));
        EXPECT_TRUE(decodeResponse(read, body("", "false")));
        EXPECT_TRUE(decodeResponse(upstreamRead(false), body(item, "true")));
    }

    // Guards against a list that ends at a page on which every entry is odd.
    TEST(StoreWire, APageOfOddEntriesLeadsOn)
    {
        const std::string longName(192, 'x');
        std::string items;
        for (const std::string& name : { std::string("a b"), std::string("a&b"), longName }) {
            if (!items.empty())
                items += ',';
            items += itemOf("servers/" + name, "!!!!");
        }
        const StoreResponse answer
            = decodeResponse(upstreamRead(false), R"({"items":[)" + items + R"(],"has_more":true,"store_revision":9})")
                  .value();
        EXPECT_TRUE(answer.upstreams.empty());
        EXPECT_TRUE(answer.hasMore);
        EXPECT_EQ(answer.lastKey, "servers/" + longName);
        EXPECT_EQ(answer.problems.size(), 3U);
    }

    // Guards against a routing table that is lost, or a process that ends, because op/config can't be read.
    TEST(StoreWire, AnUnreadableConfigurationNamesNoRoutes)
    {
        const std::vector<std::string> values = { "", "{", nested(100000), R"({"version":1e400,"routes":[]})",
            R"({"version":-1,"routes":[]})", R"({"version":"7","routes":[]})", R"({"version":7,"routes":{}})",
            R"({"version":7})", R"({"version":7,"routes":)" + nested(1000) + '}' };
        for (const std::string& value : values) {
            const std::string item = itemOf("op/config", base64(value));
            const std::string body = item.substr(0, item.size() - 1) + R"(,"store_revision":9})";
            const Result<StoreResponse> answer = decodeResponse(listRead(StoreTopic::Routes), body);
            ASSERT_TRUE(answer) << value.substr(0, 40);
            EXPECT_FALSE(answer.value().routes) << value.substr(0, 40);
            EXPECT_EQ(answer.value().problems.size(), 1U);
            StoreRead watch = listRead(StoreTopic::Routes);
            watch.isWatch = true;
            const Result<StoreResponse> events = decodeResponse(watch, bodyOf(true, item));
            ASSERT_TRUE(events) << value.substr(0, 40);
            EXPECT_FALSE(events.value().routes) << value.substr(0, 40);
        }
    }

    // Guards against a weight that wraps around to 0: the service would get no flows.
    TEST(StoreWire, WeightsOfSharesAreBounded)
    {
        const std::string value = R"({"version":7,"routes":[{"host":"198.18.0.1","prefix":"/443/","split":[)"
                                  R"({"service":"a","weight":4294967296},{"service":"b","weight":1}]}]})";
        const std::string item = itemOf("op/config", base64(value));
        StoreRead watch = listRead(StoreTopic::Routes);
        watch.isWatch = true;
        const StoreResponse answer = decodeResponse(watch, bodyOf(true, item)).value();
        ASSERT_TRUE(answer.routes);
        const Route* route = answer.routes->find(*parsePacketAddress("198.18.0.1:443"));
        ASSERT_NE(route, nullptr);
        ASSERT_EQ(route->shares.size(), 2U);
        EXPECT_GT(route->shares[0].weight, route->shares[1].weight);
    }

    // Guards against log lines that don't name the entry and its fault, and against keys that break or lengthen them.
    TEST(StoreWire, AProblemNamesTheKeyAndTheField)
    {
        const auto problemOf = [](const std::string& key, const std::string& value) {
            const std::string body = bodyOf(false, itemOf(key, base64(value)));
            return decodeResponse(upstreamRead(false), body).value().problems.at(0);
        };
        for (const std::string field :
            { "service", "address", "zone", "version", "slots", "state", "cold_left_ms", "seq_no", "born" }) {
            const StoreItemProblem problem = problemOf("servers/odd", entryWith(field, "[]"));
            EXPECT_EQ(problem.key, "servers/odd");
            EXPECT_EQ(problem.reason, "its field " + field + " is missing or not valid");
        }
        EXPECT_EQ(problemOf("servers/odd", nested(1000)).reason, "its value is not a JSON object");
        EXPECT_EQ(problemOf("servers/a\\nb\\u0000\xff\\\"c", "").key, "servers/a?b??\"c");
        EXPECT_EQ(problemOf("servers/" + std::string(192, 'x'), "").key, "servers/" + std::string(56, 'x') + "...");
    }

    // Guards against any content of an entry that ends the process or hides another entry.
    RC_GTEST_PROP(StoreWire, RandomEntriesHideNoOther, (const std::vector<uint8_t>& bytes))
    {
        const std::string value(bytes.begin(), bytes.end());
        const std::string items = itemOf("servers/i-0", base64(value)) + ',' + itemOf("servers/i-1", upstreamValue);
        const Result<StoreResponse> answer = decodeResponse(upstreamRead(false), bodyOf(false, items));
        RC_ASSERT((answer && answer.value().upstreams.size() == 1));
        RC_ASSERT(answer.value().problems.size() == 1);
    }

    // Guards against a damaged field of an otherwise complete entry that ends the process or hides another entry.
    RC_GTEST_PROP(StoreWire, DamagedEntriesHideNoOther, ())
    {
        std::string value = entryWith("", "");
        for (int i = *rc::gen::inRange(1, 4); i > 0; --i)
            value[*rc::gen::inRange<size_t>(0, value.size())] = static_cast<char>(*rc::gen::inRange(0, 256));
        const std::string items = itemOf("servers/i-0", base64(value)) + ',' + itemOf("servers/i-1", upstreamValue);
        const Result<StoreResponse> answer = decodeResponse(upstreamRead(false), bodyOf(false, items));
        RC_ASSERT(static_cast<bool>(answer));
        const StoreResponse& response = answer.value();
        RC_ASSERT(response.upstreams.size() + response.problems.size() == 2);
        RC_ASSERT(response.upstreams.back().name == "i-1");
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
