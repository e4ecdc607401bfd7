// Tests the session library against entries and an agent in one process, and against a plain socket.
#include "backends/SessionClient.h"
#include "backends/AgentServer.h"
#include "backends/EntryServer.h"
#include "fakes/OnThread.h"
#include "fakes/Upstream.h"
#include "wasabicroft/Log.h"

#include <boost/asio/executor_work_guard.hpp>
#include <future>
#include <gtest/gtest.h>
#include <poll.h>
#include <thread>

namespace wasabicroft {
namespace {

    namespace asio = boost::asio;
    using asio::ip::udp;
    using namespace std::chrono_literals;

    constexpr const char* address = "127.44.0.1"; // Used by this test file only.
    constexpr std::chrono::seconds waitLimit { 20 };

    struct CallResult {
        SessionEnd end;
        std::string answer;
        FlowId flow;
    };

    // Sends the bytes on a new flow and waits for the end of the flow.
    CallResult call(SessionClient& client, const std::string& bytes, SessionRequest request = {})
    {
        std::promise<CallResult> promise;
        std::future<CallResult> future = promise.get_future();
        const std::shared_ptr<std::string> answer = std::make_shared<std::string>();
        SessionHandlers handlers;
        handlers.onBytes = [&client, answer](FlowId flow, std::string_view part) {
            *answer += part;
            client.consumed(flow, part.size());
        };
        handlers.onEnded = [&promise, answer](FlowId flow, const SessionEnd& end) {
            promise.set_value({ end, *answer, flow });
        };
        const FlowId flow = client.open(std::move(request), handlers);
        client.write(flow, bytes);
        client.finish(flow);
        if (future.wait_for(waitLimit) != std::future_status::ready)
            throw std::runtime_error("the flow did not end");
        return future.get();
    }

    QueryOutcome query(SessionClient& client, FlowId flow, OwnerToken owner)
    {
        std::promise<QueryOutcome> promise;
        std::future<QueryOutcome> future = promise.get_future();
        client.query(flow, owner, [&promise](QueryOutcome outcome) { promise.set_value(outcome); });
        if (future.wait_for(waitLimit) != std::future_status::ready)
            throw std::runtime_error("the query did not end");
        return future.get();
    }

    std::string registrationRequest(const std::string& id)
    {
        return "POST /register HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Request-Id: " + id
            + "\r\nContent-Length: 0\r\n\r\n";
    }

    class SessionTest : public testing::Test {
    protected:
        template <typename Function> auto onThread(Function function)
        {
            return fakes::runOnThread(this->context, std::move(function));
        }

        SessionTest()
            : guard(asio::make_work_guard(this->context))
            , thread([this] { this->context.run(); })
        {
            abortOnViolation(true);
            fakes::UpstreamOptions upstreamOptions;
            upstreamOptions.service = "core";
            this->upstream = std::make_unique<fakes::Upstream>(upstreamOptions);
            AgentOptions agentOptions;
            agentOptions.name = "host-1";
            agentOptions.linkEndpoint = { address, 0 };
            this->agent = std::make_unique<AgentServer>(this->context, agentOptions, this->clock, this->metrics);
            const Endpoint link = this->onThread([this] { return this->agent->start().value(); });
            ServiceConfig service;
            service.name = "core";
            service.listeners = { { "orders", { address, 0 }, TrafficClass::Request } };
            service.upstreams = { { "host-1", "a", link, this->upstream->endpoint(), false } };
            const std::shared_ptr<Snapshot> snapshot = std::make_shared<Snapshot>();
            snapshot->manifest.version = 1;
            snapshot->services = { service };
            this->options.service = "core";
            this->options.entries = this->onThread([&] {
                this->agent->applySnapshot(snapshot);
                std::vector<Endpoint> listeners;
                for (std::unique_ptr<EntryServer>& entry : this->entries) {
                    entry = std::make_unique<EntryServer>(this->context, EntryOptions(), this->clock, this->metrics);
                    entry->applySnapshot(snapshot);
                    entry->start();
                    listeners.push_back(entry->boundEndpoint("core", "orders").value());
                }
                return listeners;
            });
        }

        ~SessionTest() override
        {
            this->onThread([this] {
                for (const std::unique_ptr<EntryServer>& entry : this->entries)
                    entry->stop();
                this->agent->stop();
                return 0;
            });
            this->context.stop();
            this->thread.join();
        }

        SystemClock clock;
        Metrics metrics;
        asio::io_context context;
        asio::executor_work_guard<asio::io_context::executor_type> guard;
        std::thread thread;
        std::unique_ptr<fakes::Upstream> upstream;
        std::unique_ptr<AgentServer> agent;
        std::array<std::unique_ptr<EntryServer>, 2> entries;
        SessionOptions options;
    };

    // Guards against a lost or altered answer, and against a query that denies a hand-over.
    TEST_F(SessionTest, RequestIsAnsweredAndItsOutcomeCanBeAsked)
    {
        SessionClient client(this->options, this->clock);
        const CallResult result = call(client, registrationRequest("r-1"));
        EXPECT_EQ(result.end.outcome, FlowOutcome::Completed);
        EXPECT_TRUE(result.answer.ends_with("registered r-1\n")) << result.answer;
        EXPECT_EQ(query(client, result.flow, result.end.owner), QueryOutcome::HandedOver);
        EXPECT_EQ(query(client, randomFlowId(), result.end.owner), QueryOutcome::Unknown);
    }

    // Guards against a refusal by a draining service that does not end as NotRun, and against work that runs after it.
    TEST_F(SessionTest, DrainingServiceRefusesAsNotRun)
    {
        this->onThread([this] {
            this->agent->applyHealth(UpstreamHealth::Draining);
            return 0;
        });
        SessionClient client(this->options, this->clock);
        const CallResult result = call(client, registrationRequest("r-2"));
        EXPECT_EQ(result.end.outcome, FlowOutcome::NotRun);
        EXPECT_TRUE(this->upstream->ledger().executions.empty());
    }

    // Guards against a request that never ends if no entry answers, or that ends as OutcomeUnknown although nothing was
    // sent.
    TEST_F(SessionTest, WithoutAnEntryARequestIsNotRunAtItsDeadline)
    {
        this->options.entries = { { address, 9 } };
        SessionClient client(this->options, this->clock);
        SessionRequest request;
        request.deadline = 500ms;
        const CallResult result = call(client, registrationRequest("r-3"), request);
        EXPECT_EQ(result.end.outcome, FlowOutcome::NotRun);
        EXPECT_EQ(result.end.reason, Reason::DeadlineExceeded);
        EXPECT_EQ(query(client, result.flow, { upstreamIdOf("host-1"), 1, 1 }), QueryOutcome::NoAnswer);
    }

    // Guards against a cancelled request that keeps running at the upstream.
    TEST_F(SessionTest, CancelEndsTheWork)
    {
        asio::io_context callers;
        SessionClient client(callers, this->options, this->clock); // Runs on this thread.
        std::optional<SessionEnd> ended;
        SessionHandlers handlers;
        handlers.onEnded = [&](FlowId, const SessionEnd& end) { ended = end; };
        const FlowId flow = client.open({}, handlers);
        client.write(flow,
            "POST /register HTTP/1.1\r\nHost: x\r\nX-Request-Id: r-4\r\nX-Work-Ms: 5000\r\nContent-Length: 0\r\n\r\n");
        const TimePoint limit = this->clock.now() + waitLimit;
        while (this->upstream->ledger().executions.empty() && this->clock.now() < limit)
            callers.run_for(10ms);
        client.cancel(flow);
        while (this->upstream->ledger().executions["r-4"].cancelled == 0 && this->clock.now() < limit)
            callers.run_for(10ms);
        ASSERT_TRUE(ended);
        EXPECT_EQ(ended->outcome, FlowOutcome::OutcomeUnknown);
        EXPECT_EQ(ended->reason, Reason::Cancelled);
        EXPECT_EQ(this->upstream->ledger().executions["r-4"].cancelled, 1U);
    }

    // Guards against a client that ignores frames of unknown flows: the agent would keep the reservation or resend
    // bytes.
    TEST(SessionClient, FramesOfUnknownFlowsAreAnsweredWithCancel)
    {
        asio::io_context context;
        udp::socket entry(context, { asio::ip::make_address(address), 0 });
        const SystemClock clock;
        SessionOptions options;
        options.service = "core";
        options.entries = { fromUdp(entry.local_endpoint()) };
        SessionClient client(options, clock);
        client.open({}, {});
        std::array<char, 2048> buffer {};
        udp::endpoint caller;
        entry.receive_from(asio::buffer(buffer), caller);
        Frame data;
        data.kind = FrameKind::Data;
        data.flow = randomFlowId();
        data.service = serviceIdOf("core");
        data.token = { upstreamIdOf("host-1"), 7, 9 };
        entry.send_to(asio::buffer(encodeFrame(data)), caller);
        const TimePoint limit = clock.now() + waitLimit;
        while (clock.now() < limit) {
            pollfd waiting { entry.native_handle(), POLLIN, 0 };
            ASSERT_GT(::poll(&waiting, 1, 5000), 0);
            const size_t size = entry.receive_from(asio::buffer(buffer), caller);
            const Result<Frame> reply = decodeFrame({ buffer.data(), size });
            ASSERT_TRUE(reply);
            if (reply.value().kind != FrameKind::Cancel || reply.value().flow != data.flow)
                continue; // Resends of the Open.
            EXPECT_EQ(reply.value().token, data.token);
            return;
        }
        FAIL() << "no Cancel";
    }

} // namespace
} // namespace wasabicroft
