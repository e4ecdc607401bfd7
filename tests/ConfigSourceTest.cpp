// Tests the YAML parser: every error is reported with file, line and remedy, and entries are merged by name.
#include "wasabicroft/ConfigSource.h"
#include "ConfigSamples.h"

#include <algorithm>
#include <fstream>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>
#include <sstream>

namespace wasabicroft {
namespace {

    const std::string validBase = R"(defaults:
  slots: 4
failureDomains:
  site-a:
services:
  alerts:
    listeners:
      feed: { endpoint: "127.10.0.1:7001", class: feed }
    upstreams:
      host-1: { failureDomain: site-a, agent: "127.10.1.1:7200", address: "127.10.1.1:7300" }
      host-2: { failureDomain: site-a, agent: "127.10.1.2:7200", address: "127.10.1.2:7300" }
)";

    ConfigSource parse(const std::string& base, const std::vector<std::string>& overlays = {})
    {
        std::vector<SourceFile> files;
        files.reserve(overlays.size());
        for (const std::string& overlay : overlays)
            files.push_back({ "overlay-" + std::to_string(files.size() + 1) + ".yaml", overlay });
        return parseSource({ "base.yaml", base }, files);
    }

    std::string replaced(std::string text, const std::string& from, const std::string& to)
    {
        const size_t position = text.find(from);
        return position == std::string::npos ? "" : text.replace(position, from.size(), to);
    }

    struct Mistake {
        std::string description;
        std::string from; // Text of validBase that is replaced.
        std::string to;
        int line;
        std::string message; // Expected part of the message, with the remedy.
    };

    const std::vector<Mistake> mistakes = {
        { "unknown key", "slots: 4", "slot: 4", 2, "unknown key 'slot'; the keys here are slots," },
        { "unknown key of an upstream", "{ failureDomain: site-a", "{ zone: site-a, failureDomain: site-a", 10,
            "unknown key 'zone'; the keys here are failureDomain," },
        { "unknown section", "defaults:", "default:", 1, "unknown key 'default'; the keys here are defaults," },
        { "duplicate value", "slots: 4", "slots: 4\n  slots: 5", 3,
            "duplicate key 'slots', first set in line 2; keep one" },
        { "duplicate upstream", "host-2:", "host-1:", 11, "duplicate key 'host-1', first set in line 10; keep one" },
        { "wrong type", "slots: 4", "slots: four", 2, "slots is 'four'; set it to a whole number from 1 to 10000" },
        { "list in place of a value", "slots: 4", "slots: [4]", 2, "must be a single value; set it to" },
        { "list in place of a mapping", "slots: 4", "- slots", 2, "must be a mapping; write" },
        { "out of bounds", "slots: 4", "slots: 0", 2, "slots is '0'; set it to a whole number from 1 to 10000" },
        { "negative number", "slots: 4", "connections: -4", 2, "connections is '-4'; set it to a whole number" },
        { "fraction over 1", "slots: 4", "retryBudget: 1.5", 2, "retryBudget is '1.5'; set it to a number from 0" },
        { "wrong boolean", "slots: 4", "proxyHeader: yes", 2, "proxyHeader is 'yes'; set it to true or false" },
        { "wrong class", "class: feed", "class: fast", 8, "class is 'fast'; set it to feed, request or bulk" },
        { "no port", "127.10.0.1:7001", "127.10.0.1", 8, "endpoint is '127.10.0.1'; set it to an IP address" },
        { "port out of bounds", "127.10.0.1:7001", "127.10.0.1:70010", 8, "set it to an IP address with a port" },
        { "dangling reference", "failureDomain: site-a", "failureDomain: site-b", 10,
            "failure domain 'site-b' is not declared; add it" },
        { "missing value", ", address: \"127.10.1.1:7300\"", "", 10, "lacks 'address'; add it" },
        { "overlapping addresses", "127.10.1.2:7300", "127.10.1.1:7300", 11, "overlaps 127.10.1.1:7300" },
        { "invalid name", "host-2:", "Host_2:", 11, "'Host_2' is not a valid name of an upstream; use 1 to 64" },
        { "removal in the base", "{ failureDomain: site-a, agent: \"127.10.1.2:7200\", address: \"127.10.1.2:7300\" }",
            "{ remove: true }", 11, "the base file cannot remove an entry; delete the entry" },
        { "no listener", "      feed: { endpoint: \"127.10.0.1:7001\", class: feed }\n", "", 6,
            "no listener; add at least one" },
        { "syntax error", "class: feed }", "class: feed", 9, "not valid YAML" },
    };

    TEST(ConfigSource, EveryMistakeIsReportedWithFileLineAndRemedy)
    {
        ASSERT_TRUE(parse(validBase).errors.empty());
        for (const Mistake& mistake : mistakes) {
            const std::string text = replaced(validBase, mistake.from, mistake.to);
            ASSERT_FALSE(text.empty()) << mistake.description;
            const ConfigSource source = parse(text);
            EXPECT_TRUE(source.services.empty()) << mistake.description;
            ASSERT_EQ(source.errors.size(), 1u) << mistake.description;
            const std::string& message = source.errors.front().message;
            EXPECT_TRUE(message.starts_with("base.yaml:" + std::to_string(mistake.line) + ": "))
                << mistake.description << ": " << message;
            EXPECT_NE(message.find(mistake.message), std::string::npos) << mistake.description << ": " << message;
        }
    }

    TEST(ConfigSource, AllMistakesAreReportedAtOnce)
    {
        std::string text = replaced(validBase, "slots: 4", "slots: 0");
        text = replaced(text, "class: feed", "class: fast");
        text = replaced(text, "127.10.1.2:7300", "127.10.1.1:7300");
        EXPECT_EQ(parse(text, { "colour: red\n" }).errors.size(), 4u);
    }

    TEST(ConfigSource, OverlaysChangeAddAndRemoveByName)
    {
        const ConfigSource source = parse(validBase, { R"(services:
  alerts:
    slots: 6
    upstreams:
      host-3: { failureDomain: site-a, agent: "127.10.1.3:7200", address: "127.10.1.3:7300" }
      host-2: { leaving: true }
      host-1: { remove: true }
)" });
        ASSERT_TRUE(source.errors.empty()) << source.errors.front().message;
        const ServiceConfig& service = source.services.front();
        EXPECT_EQ(service.slots, 6);
        ASSERT_EQ(service.upstreams.size(), 2u);
        EXPECT_EQ(service.upstreams[0].name, "host-2");
        EXPECT_TRUE(service.upstreams[0].leaving);
        EXPECT_EQ(service.upstreams[0].agent.address, "127.10.1.2");
        EXPECT_EQ(service.upstreams[1].name, "host-3");
        EXPECT_FALSE(service.upstreams[1].leaving);
    }

    TEST(ConfigSource, ConflictingOverlaysAreReported)
    {
        const std::string six = "services:\n  alerts:\n    slots: 6\n";
        const std::string seven = "services:\n  alerts:\n    slots: 7\n";
        EXPECT_TRUE(parse(validBase, { six, six }).errors.empty());
        const ConfigSource conflict = parse(validBase, { six, seven });
        ASSERT_EQ(conflict.errors.size(), 1u);
        EXPECT_NE(conflict.errors.front().message.find("overlay-2.yaml:3: services/alerts/slots is also set in "
                                                       "overlay-1.yaml:3; let only one"),
            std::string::npos)
            << conflict.errors.front().message;
        const std::string removal = "services:\n  alerts:\n    upstreams:\n      host-1: { remove: true }\n";
        const std::string change = "services:\n  alerts:\n    upstreams:\n      host-1: { leaving: true }\n";
        EXPECT_EQ(parse(validBase, { removal, change }).errors.size(), 1u);
        EXPECT_EQ(parse(validBase, { change, removal }).errors.size(), 1u);
        EXPECT_EQ(parse(validBase, { replaced(removal, "host-1", "host-9") }).errors.size(), 1u);
    }

    TEST(ConfigSource, ExplainNamesFileAndLine)
    {
        const ConfigSource source
            = parse(validBase, { "services:\n  alerts:\n    connections: 9\n", "defaults:\n  slots: 5\n" });
        ASSERT_TRUE(source.errors.empty());
        const std::vector<Explanation> connections = source.explain("services/alerts/connections");
        ASSERT_EQ(connections.size(), 1u);
        EXPECT_EQ(toString(connections.front().origin), "overlay-1.yaml:3");
        const std::vector<Explanation> slots = source.explain("services/alerts/slots");
        ASSERT_EQ(slots.size(), 1u);
        EXPECT_EQ(slots.front().text, "5");
        EXPECT_EQ(toString(slots.front().origin), "overlay-2.yaml:2");
        ASSERT_EQ(slots.front().overridden.size(), 1u);
        EXPECT_EQ(toString(slots.front().overridden.front().origin), "base.yaml:2");
        EXPECT_EQ(toString(source.explain("services/alerts/queueLimit").front().origin), "built-in default");
        EXPECT_EQ(source.explain("services/alerts/upstreams/host-1").size(), 4u);
        EXPECT_TRUE(source.explain("services/alert").empty());
    }

    // The same configuration written in different orders must have the same digests.
    RC_GTEST_PROP(ConfigSource, SameConfigGivesTheSameBytesInAnyOrder, (uint32_t seed))
    {
        std::mt19937 random(seed);
        const auto overlayOf = [&](int site) {
            std::vector<std::string> rows;
            for (int i = 1; i <= 4; ++i) {
                std::ostringstream row;
                row << "      site-" << site << "-host-" << i << ": { failureDomain: site-a, agent: \"127.10."
                    << 10 + site << '.' << i << ":7200\", address: \"127.10." << 10 + site << '.' << i << ":7300\" }\n";
                rows.push_back(row.str());
            }
            std::shuffle(rows.begin(), rows.end(), random);
            std::string text = "services:\n  alerts:\n    upstreams:\n";
            for (const std::string& row : rows)
                text += row;
            return text;
        };
        const ConfigSource first = parse(validBase, { overlayOf(1), overlayOf(2), overlayOf(3) });
        std::vector<std::string> overlays = { overlayOf(1), overlayOf(2), overlayOf(3) };
        std::shuffle(overlays.begin(), overlays.end(), random);
        const ConfigSource second = parse(validBase, overlays);
        RC_ASSERT(first.errors.empty() && second.errors.empty());
        RC_ASSERT(encodeConfig(1, 1, first.services).manifest == encodeConfig(1, 1, second.services).manifest);
        RC_ASSERT(first.services.front().upstreams.size() == 14u);
    }

    RC_GTEST_PROP(ConfigSource, DamagedTextNeverCrashesTheParser, ())
    {
        std::string text = validBase;
        const size_t position = *rc::gen::inRange<size_t>(0, text.size());
        text.replace(position, *rc::gen::inRange<size_t>(0, 8),
            *rc::gen::container<std::string>(rc::gen::elementOf(std::string("{}[]:,\"'&*!|> \n-ab1"))));
        const ConfigSource source = parse(text);
        RC_ASSERT(source.errors.empty() != source.services.empty());
    }

    struct Example {
        std::string directory;
        std::vector<std::string> overlays;
        std::vector<size_t> upstreams; // Number per service, in the order of service names.
        uint16_t slots;
    };

    // The sizes are specified in section 1.5 of the design page.
    TEST(ConfigSource, ExamplesHaveTheSpecifiedSizes)
    {
        const std::vector<Example> examples = {
            { "strazca", { "ba-petrzalka", "tt-zavar", "nr-cermat" }, { 3, 7 }, 4 },
            { "rigcheck", { "luzon-a", "luzon-b", "luzon-c" }, { 3, 7 }, 2 },
        };
        const auto read = [](const std::string& name) {
            std::ifstream file(name);
            std::ostringstream text;
            text << file.rdbuf();
            return SourceFile { name, text.str() };
        };
        for (const Example& example : examples) {
            const std::string directory = std::string(SOURCE_DIRECTORY) + "/examples/" + example.directory + '/';
            std::vector<SourceFile> overlays;
            for (const std::string& overlay : example.overlays)
                overlays.push_back(read(directory + overlay + ".yaml"));
            const ConfigSource source = parseSource(read(directory + "base.yaml"), overlays);
            ASSERT_TRUE(source.errors.empty()) << source.errors.front().message;
            ASSERT_EQ(source.services.size(), example.upstreams.size());
            for (size_t i = 0; i < example.upstreams.size(); ++i) {
                EXPECT_EQ(source.services[i].upstreams.size(), example.upstreams[i]);
                EXPECT_EQ(source.services[i].slots, example.slots);
                EXPECT_EQ(source.services[i].connections, 2000u);
            }
        }
    }

} // namespace
} // namespace wasabicroft
