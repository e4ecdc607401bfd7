// Tests of the process harness (tests/Processes.h): programs start, respond, receive signals and end with their test.
#include "tests/Processes.h"

#include "fakes/Upstream.h"

#include <array>
#include <csignal>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

namespace wasabicroft::tests {
namespace {

    constexpr Milliseconds startTimeout(5000);

    Process& startUpstream(ProcessGroup& group, const std::string& name)
    {
        return group.start(name, "fake-upstream", { "--name=" + name, "--service=label-print" });
    }

    TEST(Processes, AProgramStartsAnswersAndEndsOnTerm)
    {
        ProcessGroup group(PROGRAM_DIRECTORY);
        Process& upstream = startUpstream(group, "upstream-1");
        const std::optional<Endpoint> admin = upstream.waitAddress("admin", startTimeout);
        ASSERT_TRUE(admin) << group.allLogs();
        EXPECT_TRUE(waitForStatus(*admin, "/health", 200, startTimeout));
        upstream.signal(SIGTERM);
        EXPECT_EQ(upstream.waitExit(startTimeout), 0) << group.allLogs();
    }

    // Guards against treating a process stopped by SIGSTOP as ended, and checks that it responds again after SIGCONT.
    TEST(Processes, AStoppedProgramIsSilentAndContinues)
    {
        ProcessGroup group(PROGRAM_DIRECTORY);
        Process& upstream = startUpstream(group, "upstream-1");
        const std::optional<Endpoint> admin = upstream.waitAddress("admin", startTimeout);
        ASSERT_TRUE(admin) << group.allLogs();
        upstream.signal(SIGSTOP);
        EXPECT_FALSE(waitForStatus(*admin, "/health", 200, Milliseconds(300)));
        EXPECT_TRUE(upstream.running());
        upstream.signal(SIGCONT);
        EXPECT_TRUE(waitForStatus(*admin, "/health", 200, startTimeout));
        upstream.signal(SIGKILL);
        EXPECT_EQ(upstream.waitExit(startTimeout), 128 + SIGKILL);
    }

    TEST(Processes, TheEndOfAGroupEndsStoppedAndRunningPrograms)
    {
        std::vector<pid_t> ids;
        {
            ProcessGroup group(PROGRAM_DIRECTORY);
            for (const char* name : { "upstream-1", "upstream-2" })
                ids.push_back(startUpstream(group, name).id());
            group["upstream-2"].signal(SIGSTOP);
        }
        for (const pid_t id : ids)
            EXPECT_EQ(kill(id, 0), -1) << "process " << id << " still exists";
    }

    // A test program killed by SIGKILL runs no destructors, so the kernel has to end its children (PR_SET_PDEATHSIG).
    TEST(Processes, AProgramDoesNotOutliveAKilledTestProgram)
    {
        const TemporaryDirectory directory;
        std::array<int, 2> channel {};
        ASSERT_EQ(pipe(channel.data()), 0);
        const pid_t tester = fork();
        if (tester == 0) {
            const Process child(
                "upstream-1", std::filesystem::path(PROGRAM_DIRECTORY) / "fake-upstream", {}, directory.path);
            const pid_t id = child.id();
            if (write(channel[1], &id, sizeof(id)) == sizeof(id))
                raise(SIGKILL);
            _exit(1);
        }
        pid_t child = 0;
        ASSERT_EQ(read(channel[0], &child, sizeof(child)), static_cast<ssize_t>(sizeof(child)));
        int status = 0;
        ASSERT_EQ(waitpid(tester, &status, 0), tester);
        const auto ended = [child] {
            std::ifstream stat("/proc/" + std::to_string(child) + "/stat");
            std::string text;
            std::getline(stat, text);
            // A zombie has ended, but its new parent has not reaped it yet.
            return text.empty() || text.find(") Z ") != std::string::npos;
        };
        EXPECT_TRUE(waitUntil(ended, startTimeout));
        close(channel[0]);
        close(channel[1]);
    }

    TEST(Processes, FreeEndpointsDifferAndAreUsable)
    {
        const Endpoint first = freeEndpoint();
        const Endpoint second = freeEndpoint();
        EXPECT_NE(first, second);
        fakes::UpstreamOptions options;
        options.listen = first;
        options.admin = second;
        const fakes::Upstream upstream(options);
        EXPECT_TRUE(waitForStatus(second, "/health", 200, startTimeout));
    }

} // namespace
} // namespace wasabicroft::tests
