// Tests encoding, digests and validation of configurations, and that values of different versions are never mixed.
#include "ConfigSamples.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <limits>
#include <random>
#include <rapidcheck/gtest.h>

namespace wasabicroft {
namespace {

    using samples::published;
    using samples::twoServices;

    bool mentions(const std::vector<ConfigProblem>& problems, const std::string& path, const std::string& text)
    {
        return std::any_of(problems.begin(), problems.end(), [&](const ConfigProblem& problem) {
            return problem.path == path && problem.message.find(text) != std::string::npos
                && problem.message.find(';') != std::string::npos; // Messages have the form "problem; remedy".
        });
    }

    TEST(ConfigCodec, SnapshotReproducesThePublishedBytes)
    {
        const PublishedConfig original = published(3, 4);
        const PublishedConfig again = encodeConfig(*samples::snapshotOf(original));
        EXPECT_EQ(original.manifest, again.manifest);
        EXPECT_EQ(original.values, again.values);
    }

    RC_GTEST_PROP(ConfigCodec, OrderOfEntriesDoesNotChangeTheBytes, (uint32_t seed))
    {
        std::vector<ServiceConfig> services = { samples::service("a", 1, 5), samples::service("b", 2, 3) };
        const PublishedConfig expected = encodeConfig(1, 1, services);
        std::mt19937 random(seed);
        std::shuffle(services.begin(), services.end(), random);
        for (ServiceConfig& service : services)
            std::shuffle(service.upstreams.begin(), service.upstreams.end(), random);
        const PublishedConfig actual = encodeConfig(1, 1, services);
        RC_ASSERT(actual.manifest == expected.manifest);
        RC_ASSERT(actual.values == expected.values);
    }

    RC_GTEST_PROP(ConfigCodec, DamagedBytesAreRejectedWithoutACrash, ())
    {
        PublishedConfig config = published(3, 4);
        std::string& bytes = *rc::gen::arbitrary<bool>() ? config.manifest : config.values.begin()->second;
        const std::string original = bytes;
        bytes[*rc::gen::inRange<size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
        RC_PRE(bytes != original);
        const Result<std::shared_ptr<const Snapshot>> snapshot = parseSnapshot(config.manifest, config.values);
        // A manifest with another version number is still valid: digests protect only the values of services.
        RC_ASSERT(snapshot.has_error() || config.values == published(3, 4).values);
    }

    TEST(ConfigCodec, DuplicateAndUnknownKeysAreRejected)
    {
        const std::string value = encodeService(twoServices().front());
        std::string duplicate = value;
        duplicate.insert(1, "\"slots\":9,");
        EXPECT_TRUE(decodeService(duplicate).has_error());
        std::string unknown = value;
        unknown.insert(1, "\"colour\":9,");
        ASSERT_TRUE(decodeService(unknown).has_error());
        EXPECT_NE(decodeService(unknown).error().message.find("unknown key 'colour'"), std::string::npos);
        EXPECT_EQ(decodeService(unknown).error().kind, ErrorKind::InvalidConfig);
        EXPECT_TRUE(decodeService(value + " ").has_error());
        EXPECT_TRUE(decodeService(value).has_value());
    }

    TEST(ConfigCodec, ValuesOfAnotherOperatorAreRejected)
    {
        const PublishedConfig a = published(5, 4);
        const PublishedConfig b = published(5, 6);
        ValuesByService mixed = a.values;
        mixed["labels"] = b.values.at("labels");
        EXPECT_TRUE(parseSnapshot(a.manifest, a.values).has_value());
        EXPECT_TRUE(parseSnapshot(a.manifest, mixed).has_error());
        EXPECT_TRUE(parseSnapshot(a.manifest, b.values).has_error());
        mixed.erase("labels");
        EXPECT_TRUE(parseSnapshot(a.manifest, mixed).has_error());
    }

    TEST(ConfigCodec, ManifestThatMatchesInvalidValuesIsRejected)
    {
        std::vector<ServiceConfig> services = twoServices();
        services[1].listeners = services[0].listeners;
        const PublishedConfig config = encodeConfig(1, 1, services);
        ASSERT_TRUE(parseSnapshot(config.manifest, config.values).has_error());
        EXPECT_NE(parseSnapshot(config.manifest, config.values).error().message.find("overlaps"), std::string::npos);
    }

    TEST(ConfigCodec, InstanceListSurvivesARoundTrip)
    {
        std::vector<Member> members = { samples::member("b"), samples::member("a", "domain-b") };
        members[0].leaving = true;
        members[1].role = MemberRole::Agent;
        const Result<std::vector<Member>> decoded = decodeMembers(encodeMembers(members));
        ASSERT_TRUE(decoded.has_value());
        EXPECT_EQ(decoded.value()[0].role, MemberRole::Agent);
        EXPECT_TRUE(decoded.value()[1].leaving);
        members[1].name = "b";
        EXPECT_TRUE(decodeMembers(encodeMembers(members)).has_error());
    }

    TEST(ConfigValidation, AcceptsAValidConfiguration) { EXPECT_TRUE(validate(twoServices()).empty()); }

    TEST(ConfigValidation, RejectsMissingListenersAndUpstreams)
    {
        std::vector<ServiceConfig> services = twoServices();
        services[0].listeners.clear();
        services[1].upstreams.clear();
        EXPECT_TRUE(mentions(validate(services), "services/alerts/listeners", "no listener"));
        EXPECT_TRUE(mentions(validate(services), "services/labels/upstreams", "no upstream"));
        EXPECT_TRUE(mentions(validate({}), "services", "no service"));
    }

    // A shared address would deliver traffic of one service to another (requirement R2).
    TEST(ConfigValidation, RejectsOverlappingEndpoints)
    {
        std::vector<ServiceConfig> services = twoServices();
        services[1].upstreams[0].address = services[0].upstreams[0].address;
        EXPECT_TRUE(mentions(validate(services), "services/labels/upstreams/labels-host-1/address", "overlaps"));
        services = twoServices();
        services[1].listeners[0].endpoint = { "0.0.0.0", 7000 };
        EXPECT_TRUE(mentions(validate(services), "services/labels/listeners/main/endpoint", "overlaps"));
    }

    TEST(ConfigValidation, RejectsDuplicateNamesAndCollidingHashes)
    {
        std::vector<ServiceConfig> services = twoServices();
        services[1].upstreams[0].name = services[0].upstreams[0].name;
        EXPECT_TRUE(mentions(validate(services), "services/labels/upstreams/alerts-host-1", "used twice"));
        services = twoServices();
        services[1].name = "alerts";
        EXPECT_TRUE(mentions(validate(services), "services/alerts", "used twice"));
        const NameHash collidingHash
            = [](std::string_view name) { return name == "labels" ? hashName("alerts") : hashName(name); };
        EXPECT_TRUE(mentions(validate(twoServices(), collidingHash), "services/labels", "same hash"));
    }

    TEST(ConfigValidation, RejectsValuesOutOfBounds)
    {
        std::vector<ServiceConfig> services = twoServices();
        services[0].slots = 0;
        services[0].connections = 0;
        services[0].maxQueueWait = Milliseconds(-1);
        services[0].rampDuration = Milliseconds(3600001);
        services[0].stragglerAfter = Milliseconds(0);
        services[0].retryBudget = std::numeric_limits<double>::quiet_NaN();
        services[0].refusal.assign(5000, 'x');
        services[0].upstreams[0].failureDomain = "Domain A";
        services[0].listeners[0].endpoint.port = 0;
        const std::vector<ConfigProblem> problems = validate(services);
        EXPECT_EQ(problems.size(), 9u); // All problems are reported, not only the first.
        EXPECT_TRUE(mentions(problems, "services/alerts/slots", "out of bounds"));
        EXPECT_TRUE(mentions(problems, "services/alerts/stragglerAfterMs", "out of bounds"));
        EXPECT_TRUE(mentions(problems, "services/alerts/retryBudget", "out of bounds"));
    }

    // Versions are ordered by epoch, then version, then digest.
    TEST(ConfigStore, VersionNeverFalls)
    {
        ConfigStore store;
        EXPECT_TRUE(store.acceptIfNewer(samples::snapshotOf(published(5, 4, 1))));
        EXPECT_FALSE(store.acceptIfNewer(samples::snapshotOf(published(5, 4, 1))));
        EXPECT_FALSE(store.acceptIfNewer(samples::snapshotOf(published(4, 5, 1))));
        EXPECT_TRUE(store.acceptIfNewer(samples::snapshotOf(published(1, 5, 2))));
        EXPECT_FALSE(store.acceptIfNewer(samples::snapshotOf(published(9, 5, 1))));
        EXPECT_EQ(store.version().epoch, 2u);
    }

} // namespace
} // namespace wasabicroft
