// Runs wasabi-entry and wasabi-agent as processes against the platform's test double and a plain TCP upstream.
#include "fakes/Platform.h"
#include "tests/Processes.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdio>
#include <gtest/gtest.h>
#include <regex>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace wasabicroft {
namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;
    using boost::system::error_code;
    using namespace std::chrono_literals;

    constexpr std::chrono::seconds testTimeout { 20 };

    bool eventually(const std::function<bool()>& condition)
    {
        const TimePoint limit = std::chrono::steady_clock::now() + testTimeout;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > limit)
                return false;
            std::this_thread::sleep_for(10ms);
        }
        return true;
    }

    // A program of this project; killed by the destructor.
    class Program {
    public:
        explicit Program(std::vector<std::string> arguments)
        {
            arguments.front() = std::string(PROGRAM_DIRECTORY) + '/' + arguments.front();
            std::vector<char*> pointers;
            pointers.reserve(arguments.size() + 1);
            for (std::string& argument : arguments)
                pointers.push_back(argument.data());
            pointers.push_back(nullptr);
            EXPECT_EQ(::posix_spawn(&this->process, pointers.front(), nullptr, nullptr, pointers.data(), environ), 0);
        }
        ~Program()
        {
            if (this->process <= 0)
                return;
            ::kill(this->process, SIGKILL);
            ::waitpid(this->process, nullptr, 0);
        }
        Program(const Program&) = delete;
        Program& operator=(const Program&) = delete;

        void terminate() const { ::kill(this->process, SIGTERM); }

        bool isRunning()
        {
            if (this->process > 0 && ::waitpid(this->process, &this->status, WNOHANG) == this->process)
                this->process = 0;
            return this->process > 0;
        }
        bool endedWithSuccess() const { return WIFEXITED(this->status) && WEXITSTATUS(this->status) == 0; }

    private:
        pid_t process = 0;
        int status = 0;
    };

    class PathProcess : public testing::Test {
    protected:
        void SetUp() override
        {
            this->service.name = "core";
            this->service.listeners = { { "alerts", { address, 7001 }, TrafficClass::Feed },
                { "orders", { address, 7002 }, TrafficClass::Request } };
            const tcp::endpoint upstream = this->upstream.local_endpoint();
            this->service.upstreams = { { "host-1", "a", { address, 7003 }, { address, upstream.port() }, false } };
            this->platform.publish(encodeConfig(1, 1, { this->service }));
        }

        std::unique_ptr<Program> startEntry() const
        {
            return std::make_unique<Program>(std::vector<std::string> { "wasabi-entry", "--name", "entry-1",
                "--platform", toString(this->platform.endpoint()), "--admin-endpoint", address + ":7005",
                "--link-endpoint", address + ":7004", "--log-threshold", "warning" });
        }

        std::unique_ptr<Program> startAgent() const
        {
            return std::make_unique<Program>(std::vector<std::string> { "wasabi-agent", "--name", "host-1",
                "--platform", toString(this->platform.endpoint()), "--admin-endpoint", address + ":7006",
                "--link-endpoint", address + ":7003", "--log-threshold", "warning" });
        }

        // HTTP response of an operator endpoint; empty if it can't be reached.
        std::string get(uint16_t port, const std::string& target)
        {
            tcp::socket socket(this->context);
            error_code error;
            socket.connect({ asio::ip::make_address(address), port }, error);
            const std::string request = "GET " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            std::string response;
            if (!error)
                asio::write(socket, asio::buffer(request), error);
            if (!error)
                asio::read(socket, asio::dynamic_buffer(response), error);
            return response;
        }

        bool isReady(uint16_t port) { return this->get(port, "/ready").find(" 200 ") != std::string::npos; }

        tcp::socket call(uint16_t port)
        {
            tcp::socket socket(this->context);
            socket.connect({ asio::ip::make_address(address), port });
            return socket;
        }

        static std::string sendAndReceive(tcp::socket& from, tcp::socket& to, const std::string& bytes)
        {
            asio::write(from, asio::buffer(bytes));
            std::string received(bytes.size(), '\0');
            asio::read(to, asio::buffer(received));
            return received;
        }

        const std::string address = tests::freeEndpoint().address; // Used by this test process only.
        asio::io_context context;
        tcp::acceptor upstream { this->context, { asio::ip::make_address(this->address), 0 } };
        FakePlatform platform;
        ServiceConfig service;
    };

    std::string runStatusTool(const std::string& endpoints)
    {
        const std::string command = std::string(PROGRAM_DIRECTORY) + "/wasabictl status " + endpoints + " 2>&1";
        std::string output;
        FILE* pipe = popen(command.c_str(), "r");
        for (int c = fgetc(pipe); c != EOF; c = fgetc(pipe))
            output += static_cast<char>(c);
        EXPECT_EQ(pclose(pipe), 0) << output;
        return output;
    }

    // Guards against settings, threads and configuration that do not work together, and against a graceful shutdown
    // that interrupts an open flow or accepts new ones.
    TEST_F(PathProcess, RequestIsServedAndShutdownWaitsForOpenFlows)
    {
        const std::unique_ptr<Program> agent = this->startAgent();
        const std::unique_ptr<Program> entry = this->startEntry();
        ASSERT_TRUE(eventually([&] { return this->isReady(7005) && this->isReady(7006); }));

        tcp::socket caller = this->call(7001);
        asio::write(caller, asio::buffer(std::string("hello")));
        tcp::socket host = this->upstream.accept();
        std::string request(5, '\0');
        asio::read(host, asio::buffer(request));
        EXPECT_EQ(request, "hello");
        EXPECT_EQ(sendAndReceive(host, caller, "answer"), "answer");
        EXPECT_NE(this->get(7005, "/status").find("\"version\":1"), std::string::npos);
        // wasabictl once read fields that the daemons do not report, and printed an empty table.
        const std::string table = runStatusTool(address + ":7005 " + address + ":7006");
        EXPECT_TRUE(std::regex_search(table, std::regex(":7005 +entry-1 +entry +true +1\\.1 "))) << table;
        EXPECT_TRUE(std::regex_search(table, std::regex(":7006 +host-1 +agent +true +1\\.1 "))) << table;
        EXPECT_NE(this->get(7005, "/metrics").find("wasabi_flows_started_total"), std::string::npos);

        entry->terminate();
        agent->terminate();
        ASSERT_TRUE(eventually([&] { return !this->isReady(7005) && !this->isReady(7006); }));
        error_code refused;
        tcp::socket late(this->context);
        late.connect({ asio::ip::make_address(address), 7001 }, refused);
        EXPECT_TRUE(refused);
        EXPECT_EQ(sendAndReceive(caller, host, "late bytes"), "late bytes");
        EXPECT_EQ(sendAndReceive(host, caller, "late answer"), "late answer");
        EXPECT_TRUE(entry->isRunning());
        EXPECT_TRUE(agent->isRunning());

        caller.shutdown(tcp::socket::shutdown_send);
        host.shutdown(tcp::socket::shutdown_send);
        EXPECT_TRUE(eventually([&] { return !entry->isRunning() && !agent->isRunning(); }));
        EXPECT_TRUE(entry->endedWithSuccess());
        EXPECT_TRUE(agent->endedWithSuccess());
    }

} // namespace
} // namespace wasabicroft
