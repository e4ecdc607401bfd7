// Tests wasabictl: exit codes, increasing versions, and that a failed command leaves the output directory with its
// manifest.
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <string>
#include <sys/wait.h>
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

} // namespace
