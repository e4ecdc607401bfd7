#include "tests/Processes.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/udp.hpp>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace wasabicroft::tests {

namespace asio = boost::asio;

namespace {

    constexpr Milliseconds pollInterval(10);
    constexpr Milliseconds statusTimeout(500);
    constexpr int signalExitBase = 128;
    constexpr int startFailureExitCode = 127; // Exit code of a child that could not execute its program.
    constexpr int maxEndpointAttempts = 100;

    std::string readFile(const std::filesystem::path& path)
    {
        const std::ifstream in(path);
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

    void redirect(const std::filesystem::path& path, int descriptor)
    {
        const int file = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        if (file >= 0)
            dup2(file, descriptor);
    }

    // Runs in the child between fork and exec, where only async-signal-safe functions may be called.
    [[noreturn]] void executeChild(const std::filesystem::path& program, char** arguments,
        const std::filesystem::path& outputFile, const std::filesystem::path& logFile, pid_t parent)
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) // The parent ended before prctl took effect.
            _exit(startFailureExitCode);
        redirect(outputFile, STDOUT_FILENO);
        redirect(logFile, STDERR_FILENO);
        // Otherwise the child would keep sockets of the test's fakes open after the test has closed them.
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execv(program.c_str(), arguments);
        _exit(startFailureExitCode);
    }

    bool isPortFree(const Endpoint& endpoint)
    {
        asio::io_context io;
        boost::system::error_code error;
        const asio::ip::address address = asio::ip::make_address(endpoint.address);
        asio::ip::udp::socket udp(io, asio::ip::udp::v4());
        udp.bind({ address, endpoint.port }, error);
        if (error)
            return false;
        asio::ip::tcp::acceptor tcp(io, asio::ip::tcp::v4());
        tcp.set_option(asio::socket_base::reuse_address(true), error);
        tcp.bind({ address, endpoint.port }, error);
        return !error;
    }

} // namespace

TemporaryDirectory::TemporaryDirectory()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "wasabicroft-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error(std::string("cannot create a temporary directory: ") + std::strerror(errno));
    this->path = pattern;
}

TemporaryDirectory::~TemporaryDirectory()
{
    std::error_code ignored;
    if (!std::getenv("WASABICROFT_KEEP_LOGS"))
        std::filesystem::remove_all(this->path, ignored);
}

BlockedSignals::BlockedSignals(std::initializer_list<int> numbers)
{
    sigset_t blocked;
    sigemptyset(&blocked);
    for (const int number : numbers)
        sigaddset(&blocked, number);
    pthread_sigmask(SIG_BLOCK, &blocked, &this->previousMask);
}

BlockedSignals::~BlockedSignals() { pthread_sigmask(SIG_SETMASK, &this->previousMask, nullptr); }

Process::Process(std::string givenName, const std::filesystem::path& program, const std::vector<std::string>& arguments,
    const std::filesystem::path& logDirectory)
    : processName(std::move(givenName))
    , outputFile(logDirectory / (this->processName + ".out"))
    , logFile(logDirectory / (this->processName + ".log"))
{
    if (access(program.c_str(), X_OK) != 0)
        throw std::runtime_error(program.string() + " cannot be executed; build all programs first");
    std::vector<std::string> argumentStrings = { program.string() };
    argumentStrings.insert(argumentStrings.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(argumentStrings.size() + 1);
    for (std::string& word : argumentStrings)
        argv.push_back(word.data());
    argv.push_back(nullptr);
    const pid_t parent = getpid();
    this->pid = fork();
    if (this->pid < 0)
        throw std::runtime_error(std::string("fork failed: ") + std::strerror(errno));
    if (this->pid == 0)
        executeChild(program, argv.data(), this->outputFile, this->logFile, parent);
}

Process::~Process()
{
    if (this->exitCode)
        return;
    this->signal(SIGKILL);
    int status = 0;
    while (waitpid(this->pid, &status, 0) < 0 && errno == EINTR) { }
}

bool Process::running() { return !this->waitExit(Milliseconds(0)); }

void Process::signal(int number)
{
    // The kernel does not reuse the process id before waitpid reaps the child, so the signal cannot reach another
    // process.
    if (this->exitCode)
        return;
    kill(this->pid, number);
    if (number != SIGSTOP)
        return;
    // The child may still run on another core for a moment. Without this wait, tests that expect no response from the
    // stopped process would be flaky.
    siginfo_t stopped {};
    waitid(P_PID, static_cast<id_t>(this->pid), &stopped, WSTOPPED | WEXITED | WNOWAIT);
}

std::optional<int> Process::waitExit(Milliseconds timeout)
{
    waitUntil(
        [this] {
            int status = 0;
            if (!this->exitCode && waitpid(this->pid, &status, WNOHANG) == this->pid)
                this->exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : signalExitBase + WTERMSIG(status);
            return this->exitCode.has_value();
        },
        timeout);
    return this->exitCode;
}

std::string Process::output() const { return readFile(this->outputFile); }

std::string Process::log() const { return readFile(this->logFile); }

std::optional<Endpoint> Process::waitAddress(const std::string& key, Milliseconds timeout)
{
    std::optional<Endpoint> found;
    const std::string prefix = key + '=';
    waitUntil(
        [&] {
            const std::string text = this->output();
            const size_t lineEnd = text.rfind('\n');
            std::istringstream words(text.substr(0, lineEnd == std::string::npos ? 0 : lineEnd));
            for (std::string word; words >> word;) {
                const Result<Endpoint> endpoint
                    = parseEndpoint(word.starts_with(prefix) ? word.substr(prefix.size()) : "");
                if (endpoint)
                    found = endpoint.value();
            }
            return found.has_value() || !this->running();
        },
        timeout);
    return found;
}

ProcessGroup::ProcessGroup(std::filesystem::path programs)
    : programDirectory(std::move(programs))
{
}

Process& ProcessGroup::start(
    const std::string& name, const std::string& program, const std::vector<std::string>& arguments)
{
    this->processes.push_back(
        std::make_unique<Process>(name, this->programDirectory / program, arguments, this->directory.path));
    return *this->processes.back();
}

Process& ProcessGroup::operator[](const std::string& name) const
{
    for (const std::unique_ptr<Process>& process : this->processes)
        if (process->name() == name)
            return *process;
    throw std::out_of_range("no process is named " + name);
}

bool ProcessGroup::isRunning(const std::string& name) const
{
    return std::any_of(this->processes.begin(), this->processes.end(),
        [&](const std::unique_ptr<Process>& process) { return process->name() == name && process->running(); });
}

void ProcessGroup::remove(const std::string& name)
{
    std::erase_if(this->processes, [&](const std::unique_ptr<Process>& process) { return process->name() == name; });
}

std::string ProcessGroup::allLogs() const
{
    std::string text;
    for (const std::unique_ptr<Process>& process : this->processes)
        text += "== " + process->name() + '\n' + process->output() + process->log();
    return text;
}

Endpoint freeEndpoint()
{
    // 127.16.0.0 to 127.255.255.254, above the addresses that tests hard-code. The address depends on the process id,
    // so concurrent test programs differ; the port differs between the calls of one program.
    static std::atomic<uint32_t> calls = 0;
    constexpr uint32_t firstPort = 20000;
    constexpr uint32_t portCount = 10000;
    const uint32_t process = static_cast<uint32_t>(getpid());
    const std::string address = "127." + std::to_string(16 + (process >> 16) % 240) + '.'
        + std::to_string((process >> 8) & 0xff) + '.' + std::to_string(1 + (process & 0xff) % 254);
    for (int attempt = 0; attempt < maxEndpointAttempts; ++attempt) {
        const Endpoint candidate { address, static_cast<uint16_t>(firstPort + calls++ % portCount) };
        if (isPortFree(candidate))
            return candidate;
    }
    throw std::runtime_error("no free port at " + address);
}

bool waitForStatus(const Endpoint& endpoint, const std::string& target, unsigned status, Milliseconds timeout)
{
    return waitUntil(
        [&] {
            const Result<fakes::HttpReply> reply = fakes::httpCall(endpoint, "GET", target, statusTimeout);
            return reply && reply.value().status == status;
        },
        timeout);
}

bool waitUntil(const std::function<bool()>& condition, Milliseconds timeout)
{
    const TimePoint end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace wasabicroft::tests
