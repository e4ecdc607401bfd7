// Child processes of process tests: starts the built programs, captures their output and terminates them, also when a
// test fails or the test program is killed. Every child gets SIGKILL when the thread that started it ends
// (PR_SET_PDEATHSIG).
#pragma once

#include "fakes/Http.h"

#include <csignal>
#include <filesystem>
#include <initializer_list>
#include <string>
#include <sys/types.h>
#include <vector>

namespace wasabicroft::tests {

// Creates a temporary directory and removes it with its contents on destruction, unless the environment variable
// WASABICROFT_KEEP_LOGS is set.
class TemporaryDirectory {
public:
    TemporaryDirectory();
    ~TemporaryDirectory();
    TemporaryDirectory(const TemporaryDirectory&) = delete;
    TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

    std::filesystem::path path;
};

// Blocks signals in this thread while in scope. A program started in that time inherits the blocked mask, so a signal
// stays pending until the program has installed its handlers, which it cannot do before main().
class BlockedSignals {
public:
    explicit BlockedSignals(std::initializer_list<int> numbers);
    ~BlockedSignals();
    BlockedSignals(const BlockedSignals&) = delete;
    BlockedSignals& operator=(const BlockedSignals&) = delete;

private:
    sigset_t previousMask {};
};

// One child process. Standard output and standard error go to <name>.out and <name>.log in the log directory.
class Process {
public:
    Process(std::string name, const std::filesystem::path& program, const std::vector<std::string>& arguments,
        const std::filesystem::path& logDirectory);
    ~Process(); // Sends SIGKILL and waits for the end of the process.
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    const std::string& name() const { return this->processName; }
    pid_t id() const { return this->pid; }
    bool running(); // True also for a stopped process (SIGSTOP).
    void signal(int number); // Does nothing after the process has ended.

    // Waits for the end of the process and returns its exit code, or nullopt if it still runs after the timeout. A
    // process killed by a signal has the code 128 + signal, as in a shell.
    std::optional<int> waitExit(Milliseconds timeout);

    std::string output() const; // Standard output written so far.
    std::string log() const; // Standard error written so far.

    // Waits until standard output contains "key=ip:port" and returns that address; nullopt if the process ends or the
    // timeout passes first.
    std::optional<Endpoint> waitAddress(const std::string& key, Milliseconds timeout);

private:
    std::string processName;
    std::filesystem::path outputFile;
    std::filesystem::path logFile;
    pid_t pid = -1;
    std::optional<int> exitCode;
};

// The processes of one test and their log directory.
class ProcessGroup {
public:
    // programDirectory contains the built programs (PROGRAM_DIRECTORY in process tests).
    explicit ProcessGroup(std::filesystem::path programDirectory);

    // Throws std::runtime_error if the program cannot be started.
    Process& start(const std::string& name, const std::string& program, const std::vector<std::string>& arguments);

    Process& operator[](const std::string& name) const; // Throws std::out_of_range for an unknown name.
    bool isRunning(const std::string& name) const; // False for an unknown name.
    void remove(const std::string& name); // Kills the process if it still runs.
    const std::filesystem::path& logDirectory() const { return this->directory.path; }
    std::string allLogs() const; // Output and logs of all processes, for failure messages.

private:
    std::filesystem::path programDirectory;
    TemporaryDirectory directory; // Destroyed after the processes, which write to it.
    std::vector<std::unique_ptr<Process>> processes;
};

// Returns an endpoint in 127.0.0.0/8 whose port was free for TCP and UDP at the time of the call. Every call in a
// process returns another port, and concurrent test processes get different addresses, so that no two tests use the
// same endpoint.
Endpoint freeEndpoint();

// Repeats a GET request until the response has the status; returns false on timeout.
bool waitForStatus(const Endpoint&, const std::string& target, unsigned status, Milliseconds timeout);

// Polls the condition until it is true; returns false on timeout.
bool waitUntil(const std::function<bool()>& condition, Milliseconds timeout);

} // namespace wasabicroft::tests
