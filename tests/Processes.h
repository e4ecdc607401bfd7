// Starts the project's programs in process tests and ends all of them, also when a test fails or the test program is
// killed: every child gets SIGKILL when the thread that started it ends (PR_SET_PDEATHSIG).
#pragma once

#include "fakes/Http.h"

#include <csignal>
#include <filesystem>
#include <initializer_list>
#include <string>
#include <sys/types.h>
#include <vector>

namespace wasabicroft::tests {

// A directory that is removed with its contents at the end of its lifetime. Set WASABICROFT_KEEP_LOGS to keep it.
class TemporaryDirectory {
public:
    TemporaryDirectory();
    ~TemporaryDirectory();
    TemporaryDirectory(const TemporaryDirectory&) = delete;
    TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

    std::filesystem::path path;
};

// Blocks signals in this thread. A program that is started meanwhile has them pending until it can handle them, which
// no program can before main().
class BlockedSignals {
public:
    explicit BlockedSignals(std::initializer_list<int> numbers);
    ~BlockedSignals();
    BlockedSignals(const BlockedSignals&) = delete;
    BlockedSignals& operator=(const BlockedSignals&) = delete;

private:
    sigset_t previousMask {};
};

// One running program. Standard output and standard error go to <name>.out and <name>.log in the log directory.
class Process {
public:
    Process(std::string name, const std::filesystem::path& program, const std::vector<std::string>& arguments,
        const std::filesystem::path& logDirectory);
    ~Process(); // SIGKILL, then waits
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    const std::string& name() const { return this->processName; }
    pid_t id() const { return this->pid; }
    bool running(); // a stopped process (SIGSTOP) counts as running
    void signal(int number); // ignored after the end of the process

    // Waits for the end of the process. Empty if it still runs after the timeout. A process killed by a signal has the
    // code 128 + signal, as in a shell.
    std::optional<int> waitExit(Milliseconds timeout);

    std::string output() const; // standard output so far
    std::string log() const; // standard error so far

    // Waits until standard output contains the text "key=ip:port" and returns the address.
    std::optional<Endpoint> waitAddress(const std::string& key, Milliseconds timeout);

private:
    std::string processName;
    std::filesystem::path outputFile;
    std::filesystem::path logFile;
    pid_t pid = -1;
    std::optional<int> exitCode;
};

// All processes of one test, with their log directory.
class ProcessGroup {
public:
    // programDirectory holds the built programs (PROGRAM_DIRECTORY in process tests).
    explicit ProcessGroup(std::filesystem::path programDirectory);

    // Throws std::runtime_error if the program cannot be started.
    Process& start(const std::string& name, const std::string& program, const std::vector<std::string>& arguments);

    Process& operator[](const std::string& name) const; // throws std::out_of_range
    bool isRunning(const std::string& name) const; // false also for an unknown name
    void remove(const std::string& name); // ends it
    const std::filesystem::path& logDirectory() const { return this->directory.path; }
    std::string allLogs() const; // for the message of a failing test

private:
    std::filesystem::path programDirectory;
    TemporaryDirectory directory; // outlives the processes
    std::vector<std::unique_ptr<Process>> processes;
};

// A loopback address of 127.0.0.0/8 with a port that was free for TCP and UDP at the time of the call. The address is
// different on every call within a process and between concurrent test processes, so that ports are not taken again.
Endpoint freeEndpoint();

// Polls GET until it answers with the status; false after the timeout.
bool waitForStatus(const Endpoint&, const std::string& target, unsigned status, Milliseconds timeout);

// Polls until the condition holds; false after the timeout.
bool waitUntil(const std::function<bool()>& condition, Milliseconds timeout);

} // namespace wasabicroft::tests
