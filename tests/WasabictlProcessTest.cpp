// Tests wasabictl: exit codes, increasing versions, that a failed command leaves the output directory with its
// manifest, and the explanation of a placement by an entry that runs.
#include "fakes/Http.h"
#include "fakes/PacketPlatform.h"
#include "tests/PacketPrograms.h"
#include "tests/Processes.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace {

namespace fs = std::filesystem;

struct Outcome {
    int exitCode = -1;
    std::string output; // Standard output and standard error.
};

Outcome runTool(const std::string& arguments)
{
    Outcome outcome;
    const std::string command = std::string(PROGRAM_DIRECTORY) + "/wasabictl " + arguments + " 2>&1";
    FILE* pipe = popen(command.c_str(), "r");
    for (int c = fgetc(pipe); c != EOF; c = fgetc(pipe))
        outcome.output += static_cast<char>(c);
    outcome.exitCode = WEXITSTATUS(pclose(pipe));
    return outcome;
}

class WasabictlProcess : public testing::Test {
protected:
    void SetUp() override // NOLINT(readability-identifier-naming)
    {
        this->directory = fs::path(testing::TempDir()) / ("wasabictl-" + std::to_string(getpid()));
        fs::create_directories(this->directory);
        const std::string examples = std::string(SOURCE_DIRECTORY) + "/examples/rigcheck/";
        for (const std::string file : { "base", "luzon-a", "luzon-b", "luzon-c" })
            this->source += examples + file + ".yaml ";
    }

    void TearDown() override { fs::remove_all(this->directory); } // NOLINT(readability-identifier-naming)

    std::string write(const std::string& name, const std::string& text) const
    {
        std::ofstream(this->directory / name) << text;
        return (this->directory / name).string();
    }

    fs::path directory;
    std::string source;
};

TEST_F(WasabictlProcess, ExitCodesDistinguishInvalidInputFromUsageErrors)
{
    EXPECT_EQ(runTool("check " + this->source).exitCode, 0);
    const Outcome refused = runTool("check " + this->source + this->write("bad.yaml", "colour: red\n"));
    EXPECT_EQ(refused.exitCode, 1);
    EXPECT_NE(refused.output.find("bad.yaml:1: unknown key 'colour'"), std::string::npos) << refused.output;
    EXPECT_EQ(runTool("check /nonexistent.yaml").exitCode, 1);
    EXPECT_EQ(runTool("check").exitCode, 2);
    EXPECT_EQ(runTool("status 127.0.0.1:1").exitCode, 3);
    EXPECT_EQ(runTool("evacuation").exitCode, 2);
    EXPECT_EQ(runTool("evacuation nowhere").exitCode, 2);
    EXPECT_EQ(runTool("evacuation 127.0.0.1:1").exitCode, 3);
}

TEST_F(WasabictlProcess, CompiledVersionsRiseOnlyWithAChange)
{
    const std::string out = (this->directory / "out").string();
    const std::string compile = "compile --out " + out + ' ';
    EXPECT_NE(runTool(compile + this->source).output.find("version 1,"), std::string::npos);
    EXPECT_NE(runTool(compile + this->source).output.find("version 1,"), std::string::npos);
    const std::string overlay = this->write("more.yaml", "services:\n  cert-store:\n    slots: 3\n");
    EXPECT_NE(runTool(compile + this->source + overlay).output.find("version 2,"), std::string::npos);
    EXPECT_EQ(runTool(compile + "--config-version 1 " + this->source).exitCode, 1);
    EXPECT_NE(runTool("explain " + this->source + overlay + " services/cert-store/slots").output.find("more.yaml:3"),
        std::string::npos);
    // An invalid source leaves the compiled output unchanged.
    EXPECT_EQ(runTool(compile + this->source + this->write("bad.yaml", "colour: red\n")).exitCode, 1);
    std::string sources = this->source + overlay;
    std::replace(sources.begin(), sources.end(), ' ', ',');
    EXPECT_NE(runTool("diff " + out + ' ' + sources).output.find("0 values differ"), std::string::npos);
    this->write("out/manifest.json", "{");
    EXPECT_EQ(runTool(compile + this->source).exitCode, 1);
}

// A store with one route and two upstreams, one of which drains, an entry, and the agent of the other upstream.
struct ExplainedEntry : testing::Test {
    ExplainedEntry()
    {
        using namespace wasabicroft::tests;
        this->store.put("op/config",
            R"({"version":1,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/","service":"api",)"
            R"("slo_ms":200,"timeout_ms":2000,"priority":1}],"services":[],"limits":{"idle_timeout_ms":15000}})");
        this->putUpstream("ready", 20);
        this->putUpstream("draining", 21);
        this->thread = std::thread([this] { this->context.run(); });
        const std::string seeds = ip(10) + ':' + std::to_string(packet_ports::control);
        this->group.start("entry", "wasabi-packet-entry",
            PacketProgramConfig { "entry", ip(10), seeds }.entryArguments(
                packet_ports::hop, toString(this->storeAddress)));
        this->group.start(
            "agent", "wasabi-packet-agent", PacketProgramConfig { "agent", ip(20), seeds }.agentArguments("api"));
    }

    ~ExplainedEntry() override
    {
        this->context.stop();
        this->thread.join();
    }

    static std::string ip(int number)
    {
        return "127." + std::to_string(17 + (getpid() >> 8) % 200) + '.' + std::to_string(getpid() % 250) + '.'
            + std::to_string(number);
    }

    void putUpstream(const std::string& state, int number)
    {
        this->store.put("servers/" + state,
            R"({"service":"api","zone":"z","version":"v1","slots":2,"cold_left_ms":0,"seq_no":1,"born":1,"state":")"
                + state + R"(","address":")" + ip(number) + R"(:8165"})");
    }

    static Outcome explainFlow(const wasabicroft::Endpoint& endpoint, const std::string& arguments)
    {
        return runTool("explain-flow " + toString(endpoint) + ' ' + arguments);
    }

    wasabicroft::tests::ProcessGroup group { PROGRAM_DIRECTORY };
    wasabicroft::Endpoint storeAddress { ip(2), wasabicroft::tests::packet_ports::store };
    wasabicroft::Endpoint entryAddress { ip(10), wasabicroft::tests::packet_ports::ready };
    wasabicroft::Endpoint agentAddress { ip(20), wasabicroft::tests::packet_ports::ready };
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { this->context.get_executor() };
    wasabicroft::fakes::PacketStore store { this->context, this->storeAddress };
    std::thread thread;
};

// Guards against exit codes that hide a refusal, and against an entry that answers a wrong question.
TEST_F(ExplainedEntry, IsAskedForThePlacementOfAFlow)
{
    constexpr std::chrono::milliseconds timeout { 5000 };
    ASSERT_TRUE(wasabicroft::tests::waitForStatus(this->entryAddress, "/ready", 200, timeout)) << group.allLogs();
    ASSERT_TRUE(wasabicroft::tests::waitForStatus(this->agentAddress, "/health", 200, timeout)) << group.allLogs();
    const std::string flow = "100.64.0.7:4001 198.18.0.1:443";
    const Outcome table = explainFlow(this->entryAddress, flow);
    EXPECT_EQ(table.exitCode, 0) << table.output;
    EXPECT_NE(table.output.find("100.64.0.7:4001>198.18.0.1:443: would be offered\n"), std::string::npos)
        << table.output;
    EXPECT_LT(table.output.find("  ready "), table.output.find("not asked:")) << table.output;
    EXPECT_GT(table.output.find("  draining "), table.output.find("not asked:")) << table.output;
    const Outcome asJson = explainFlow(this->entryAddress, "--json " + flow);
    const boost::json::value explanation = boost::json::parse(asJson.output);
    EXPECT_EQ(explanation.at("outcome"), "offered");
    EXPECT_EQ(explanation.at("services").at(0).at("excluded").at(0).at("excludedBy"), "draining");
    const Outcome unknown = explainFlow(this->entryAddress, "100.64.0.7:4001 198.18.0.1:444");
    EXPECT_EQ(unknown.exitCode, 0);
    EXPECT_NE(unknown.output.find("would be refused, no route"), std::string::npos) << unknown.output;
    EXPECT_EQ(explainFlow(this->entryAddress, "100.64.0.7 198.18.0.1:443").exitCode, 1);
    EXPECT_EQ(explainFlow(this->entryAddress, "100.64.0.7:4001").exitCode, 2);
    EXPECT_EQ(explainFlow({ this->entryAddress.address, 1 }, flow).exitCode, 3);
    // Agents do not know the path, as programs of versions without it.
    const Outcome old = explainFlow(this->agentAddress, flow);
    EXPECT_EQ(old.exitCode, 1);
    EXPECT_NE(old.output.find("the entry does not know explain-flow"), std::string::npos) << old.output;
    for (const std::string target : { "?client=100.64.0.7:4001", "", "?client=100.64.0.7:4001&route=198.18.0.1:x" })
        EXPECT_TRUE(wasabicroft::tests::waitForStatus(this->entryAddress, "/explain-flow" + target, 400, timeout));
    // The traffic thread has offered nothing and goes on.
    EXPECT_EQ(this->group["entry"].output().find("packet-flow-offered"), std::string::npos);
    EXPECT_TRUE(wasabicroft::tests::waitForStatus(this->entryAddress, "/ready", 200, timeout));
}

} // namespace
