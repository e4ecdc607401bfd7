// Tests that docs/EVENTS.md and the table in Events.cpp list the same event numbers and names.
#include "wasabicroft/Events.h"

#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <regex>
#include <string>

namespace wasabicroft {
namespace {

    std::map<int, std::string> documentedEvents()
    {
        std::ifstream file(std::string(SOURCE_DIRECTORY) + "/docs/EVENTS.md");
        const std::regex row(R"(^\| (\d{4}) \| ([a-z-]+) \|)");
        std::map<int, std::string> events;
        std::string line;
        while (std::getline(file, line)) {
            std::smatch match;
            if (std::regex_search(line, match, row))
                events[std::stoi(match[1])] = match[2];
        }
        return events;
    }

    TEST(Events, CatalogueMatchesTheCode)
    {
        std::map<int, std::string> inCode;
        for (const EventInfo& info : allEvents())
            inCode[static_cast<int>(info.event)] = std::string(info.name);
        EXPECT_EQ(documentedEvents(), inCode);
    }

} // namespace
} // namespace wasabicroft
