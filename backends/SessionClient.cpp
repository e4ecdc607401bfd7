#include "backends/SessionClient.h"

#include "backends/Guard.h"
#include "backends/Link.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>
#include <thread>

namespace wasabicroft {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    constexpr size_t readBufferBytes = 64 * 1024; // Holds the largest datagram.
    constexpr size_t datagramsPerWakeup = 64;
    constexpr size_t datagramPayloadBytes = 1100; // Keeps a frame below the usual path MTU of 1,500 bytes.
    constexpr int socketBufferBytes = 4 * 1024 * 1024;
    constexpr Milliseconds entryProbeInterval { 500 }; // Interval between copies of frames to an unresponsive entry.

} // namespace

std::string_view nameOf(QueryOutcome outcome) { return queryOutcomeNames.at(static_cast<size_t>(outcome)); }

// State of a client; used on its thread only. Pending callbacks of the io_context keep it alive.
class SessionClient::Impl : public std::enable_shared_from_this<Impl> {
public:
    asio::io_context& context;

    Impl(asio::io_context& ioContext, SessionOptions initialOptions, const Clock& timeSource)
        : context(ioContext)
        , options(std::move(initialOptions))
        , clock(timeSource)
        , socket(ioContext)
        , timer(ioContext)
        , random(randomIncarnation())
        , readBuffer(readBufferBytes)
    {
        if (this->options.entries.empty())
            throw std::invalid_argument("a session client needs the address of at least one entry");
        this->setEntries(this->options.entries);
        const asio::ip::udp::endpoint first = toUdp(this->options.entries.front());
        this->socket.open(first.protocol());
        this->socket.bind({ first.protocol(), 0 });
        this->socket.non_blocking(true);
        error_code ignored; // The kernel may grant less.
        this->socket.set_option(asio::socket_base::receive_buffer_size(socketBufferBytes), ignored);
    }

    void start() { this->receive(); }

    void stop()
    {
        this->isStopped = true;
        this->timer.cancel();
        error_code ignored;
        this->socket.close(ignored);
        this->flows.clear();
        this->queries.clear();
    }

    void open(FlowId id, SessionRequest request, SessionHandlers handlers)
    {
        if (this->isStopped)
            return;
        if (this->flows.size() >= this->options.maxFlows) {
            if (handlers.onEnded)
                handlers.onEnded(id, { FlowOutcome::NotRun, Reason::Overloaded, Milliseconds(0), {} });
            return;
        }
        const FlowPtr flow = std::make_shared<Flow>(id, this->initiatorOptions(std::move(request)), this->clock);
        flow->handlers = std::move(handlers);
        this->flows[id] = flow;
        InitiatorCommands commands;
        flow->initiator.start(std::vector<UpstreamId>(this->options.maxOpens, placedByEntry), commands);
        this->executeCommands(flow, commands);
    }

    void write(FlowId id, std::string bytes)
    {
        this->withOpenFlow(id, [&](const FlowPtr& flow, InitiatorCommands& commands) {
            flow->unsent += bytes;
            flow->notifyWritable = true;
            this->fillSendBuffer(*flow, commands);
        });
    }

    void finish(FlowId id)
    {
        this->withOpenFlow(id, [&](const FlowPtr& flow, InitiatorCommands& commands) {
            flow->finishRequested = true;
            this->fillSendBuffer(*flow, commands);
        });
    }

    void consumed(FlowId id, size_t bytes)
    {
        this->withOpenFlow(id,
            [&](const FlowPtr& flow, InitiatorCommands& commands) { flow->initiator.onDelivered(bytes, commands); });
    }

    void cancel(FlowId id)
    {
        this->withOpenFlow(
            id, [](const FlowPtr& flow, InitiatorCommands& commands) { flow->initiator.cancel(commands); });
    }

    void query(FlowId id, OwnerToken token, std::function<void(QueryOutcome)> answer)
    {
        if (this->isStopped)
            return;
        PendingQuery& pending = this->queries[id];
        pending = { token, std::move(answer), this->clock.now() + this->options.queryTimeout, this->clock.now() };
        this->sendQuery(id, pending);
        this->armTimer();
    }

    void setEntries(const std::vector<Endpoint>& endpoints)
    {
        if (endpoints.empty())
            return;
        std::vector<Entry> next;
        for (const Endpoint& endpoint : endpoints) {
            Entry entry { toUdp(endpoint), std::nullopt, {} };
            for (const Entry& known : this->entries)
                if (known.endpoint == entry.endpoint)
                    entry = known;
            next.push_back(entry);
        }
        this->entries = std::move(next);
    }

private:
    struct Flow {
        Flow(FlowId id, InitiatorOptions initiatorOptions, const Clock& clock)
            : initiator(id, std::move(initiatorOptions), clock)
        {
        }

        FlowInitiator initiator;
        SessionHandlers handlers;
        std::string unsent; // Passed to write(), not yet in the send buffer.
        bool finishRequested = false;
        bool finishForwarded = false;
        bool notifyWritable = false;
        bool isEnded = false;
        std::optional<TimePoint> timer; // Key in timers.
    };
    using FlowPtr = std::shared_ptr<Flow>;

    struct PendingQuery {
        OwnerToken token;
        std::function<void(QueryOutcome)> answer;
        TimePoint expires;
        TimePoint resendAt;
    };

    struct Entry {
        asio::ip::udp::endpoint endpoint;
        std::optional<TimePoint> unansweredSince; // When the first frame after the last received one was sent.
        TimePoint lastProbe; // When the last copy of a frame was sent while the entry was unresponsive.
    };

    InitiatorOptions initiatorOptions(SessionRequest request) const
    {
        InitiatorOptions flow;
        flow.service = serviceIdOf(this->options.service);
        flow.trafficClass = this->options.trafficClass;
        flow.idempotent = request.idempotent;
        flow.datagrams = true;
        flow.requestId = std::move(request.requestId);
        flow.deadline = request.deadline;
        flow.openTimeout = this->options.openTimeout;
        flow.heartbeatInterval = this->options.heartbeatInterval;
        flow.sendBufferBytes = flow.receiveWindowBytes = this->options.bufferBytes;
        flow.maxPayloadBytes = datagramPayloadBytes;
        return flow;
    }

    template <typename Action> void withOpenFlow(FlowId id, Action action)
    {
        const auto found = this->flows.find(id);
        if (this->isStopped || found == this->flows.end() || found->second->isEnded)
            return;
        const FlowPtr flow = found->second;
        InitiatorCommands commands;
        action(flow, commands);
        this->executeCommands(flow, commands);
    }

    // Moves the caller's bytes into the send buffer.
    void fillSendBuffer(Flow& flow, InitiatorCommands& commands)
    {
        if (!flow.unsent.empty())
            flow.unsent.erase(0, flow.initiator.write(flow.unsent, commands));
        if (flow.unsent.empty() && flow.finishRequested && !std::exchange(flow.finishForwarded, true))
            flow.initiator.finishWriting(commands);
    }

    void executeCommands(const FlowPtr& flow, InitiatorCommands& commands)
    {
        if (!flow->isEnded)
            this->fillSendBuffer(*flow, commands);
        for (InitiatorCommand& command : commands) {
            if (this->isStopped)
                return;
            if (SendToOwner* send = std::get_if<SendToOwner>(&command))
                this->send(send->frame);
            else if (const DeliverToCaller* deliver = std::get_if<DeliverToCaller>(&command)) {
                if (flow->handlers.onBytes)
                    flow->handlers.onBytes(flow->initiator.id(), deliver->bytes);
            } else if (std::holds_alternative<DeliverEndToCaller>(command)) {
                if (flow->handlers.onFinished)
                    flow->handlers.onFinished(flow->initiator.id());
            } else if (const FlowEnded* end = std::get_if<FlowEnded>(&command))
                this->onEnded(flow, *end);
        }
        if (this->isStopped)
            return;
        const bool isWritable = !flow->isEnded && flow->unsent.empty() && flow->initiator.freeSendBuffer() > 0;
        if (isWritable && std::exchange(flow->notifyWritable, false) && flow->handlers.onWritable)
            flow->handlers.onWritable(flow->initiator.id());
        this->schedule(flow);
    }

    void onEnded(const FlowPtr& flow, const FlowEnded& end)
    {
        if (std::exchange(flow->isEnded, true))
            return;
        flow->unsent.clear();
        this->endedFlowExpiries.emplace_back(
            this->clock.now() + this->options.endedFlowRetention, flow->initiator.id());
        const SessionHandlers handlers = std::exchange(flow->handlers, {});
        if (handlers.onEnded)
            handlers.onEnded(
                flow->initiator.id(), { end.outcome, end.reason, end.retryAfter, flow->initiator.token() });
    }

    //-------------------------------------------------------------------------
    // Datagrams
    //-------------------------------------------------------------------------

    bool isUnresponsive(const Entry& entry) const
    {
        return entry.unansweredSince
            && this->clock.now() - *entry.unansweredSince > this->options.unresponsiveEntryTimeout;
    }

    // Picks a random entry, since any entry can forward any frame. Unresponsive entries are avoided, because a frame
    // lost with a failed entry costs its flow a resend timeout.
    Entry& chooseEntry()
    {
        std::vector<size_t> responsive;
        for (size_t index = 0; index < this->entries.size(); ++index)
            if (!this->isUnresponsive(this->entries[index]))
                responsive.push_back(index);
        const bool useAny = responsive.empty();
        const size_t count = useAny ? this->entries.size() : responsive.size();
        const size_t randomIndex = this->random() % count;
        return this->entries[useAny ? randomIndex : responsive[randomIndex]];
    }

    void send(const Frame& frame)
    {
        const std::string bytes = encodeFrame(frame);
        Entry& chosen = this->chooseEntry();
        this->sendToEntry(chosen, frame, bytes);
        // Copies detect whether an unresponsive entry is back. The owner drops duplicate bytes. An Open is not copied,
        // because the copy would take a second reservation.
        const TimePoint now = this->clock.now();
        for (Entry& entry : this->entries) {
            const bool mayProbe = frame.kind == FrameKind::Data || frame.kind == FrameKind::Ping;
            if (!mayProbe || &entry == &chosen || !this->isUnresponsive(entry)
                || now - entry.lastProbe < entryProbeInterval)
                continue;
            entry.lastProbe = now;
            this->sendToEntry(entry, frame, bytes);
        }
    }

    void sendToEntry(Entry& entry, const Frame& frame, const std::string& bytes)
    {
        error_code ignored; // A datagram that can't be sent is treated as lost and resent.
        this->socket.send_to(asio::buffer(bytes), entry.endpoint, 0, ignored);
        const bool expectsReply = frame.kind == FrameKind::Open || frame.kind == FrameKind::Ping
            || frame.kind == FrameKind::Data || frame.kind == FrameKind::Query;
        if (expectsReply && !entry.unansweredSince)
            entry.unansweredSince = this->clock.now();
    }

    void markResponsive(const asio::ip::udp::endpoint& from)
    {
        for (Entry& entry : this->entries)
            if (entry.endpoint == from)
                entry.unansweredSince.reset();
    }

    void receive()
    {
        this->socket.async_wait(asio::socket_base::wait_read, [self = this->shared_from_this()](error_code error) {
            if (error == asio::error::operation_aborted || self->isStopped)
                return;
            for (size_t i = 0; i < datagramsPerWakeup && !self->isStopped; ++i) {
                asio::ip::udp::endpoint from;
                const size_t size = self->socket.receive_from(asio::buffer(self->readBuffer), from, 0, error);
                if (error)
                    break;
                self->onDatagram(from, { self->readBuffer.data(), size });
            }
            if (!self->isStopped)
                self->receive();
        });
    }

    void onDatagram(const asio::ip::udp::endpoint& from, std::string_view bytes)
    {
        const Result<Frame> decoded = decodeFrame(bytes);
        if (!decoded)
            return;
        this->markResponsive(from);
        const Frame& frame = decoded.value();
        if (frame.kind == FrameKind::Answer) {
            this->onAnswer(frame);
            return;
        }
        const auto found = this->flows.find(frame.flow);
        if (found == this->flows.end()) {
            this->cancelUnknownFlow(frame);
            return;
        }
        const FlowPtr flow = found->second;
        InitiatorCommands commands;
        flow->initiator.onFrame(frame, commands);
        this->executeCommands(flow, commands);
    }

    // Called for a frame of a flow that has been removed here, or that belongs to an earlier client with this address.
    // Cancel frees what the agent holds for it.
    void cancelUnknownFlow(const Frame& frame)
    {
        const bool showsLiveFlow = frame.kind == FrameKind::Opened || frame.kind == FrameKind::Data;
        if (!showsLiveFlow || frame.service != serviceIdOf(this->options.service))
            return;
        Frame cancel;
        cancel.kind = FrameKind::Cancel;
        cancel.flow = frame.flow;
        cancel.service = frame.service;
        cancel.token = frame.token;
        cancel.trafficClass = this->options.trafficClass;
        this->send(cancel);
    }

    //-------------------------------------------------------------------------
    // Queries
    //-------------------------------------------------------------------------

    void sendQuery(FlowId id, PendingQuery& pending)
    {
        Frame frame;
        frame.kind = FrameKind::Query;
        frame.flow = id;
        frame.service = serviceIdOf(this->options.service);
        frame.token = pending.token;
        frame.trafficClass = this->options.trafficClass;
        this->send(frame);
        pending.resendAt = this->clock.now() + this->options.queryResendInterval;
    }

    static QueryOutcome queryOutcomeOf(Reason reason)
    {
        switch (reason) {
        case Reason::HandedOver:
        case Reason::UpstreamReset:
            return QueryOutcome::HandedOver;
        case Reason::NotRun:
            return QueryOutcome::NotHandedOver;
        case Reason::None:
            return QueryOutcome::Reserved;
        default:
            return QueryOutcome::Unknown;
        }
    }

    void onAnswer(const Frame& frame)
    {
        const auto found = this->queries.find(frame.flow);
        if (found != this->queries.end() && found->second.token == frame.token)
            this->endQuery(frame.flow, queryOutcomeOf(frame.reason));
    }

    void endQuery(FlowId id, QueryOutcome outcome)
    {
        const std::function<void(QueryOutcome)> answer = std::move(this->queries[id].answer);
        this->queries.erase(id);
        if (answer)
            answer(outcome);
    }

    //-------------------------------------------------------------------------
    // Timers
    //-------------------------------------------------------------------------

    void schedule(const FlowPtr& flow)
    {
        const std::optional<TimePoint> next = flow->initiator.nextTimer();
        if (next != flow->timer) {
            if (flow->timer)
                this->timers.erase({ *flow->timer, flow->initiator.id() });
            flow->timer = next;
            if (next)
                this->timers.emplace(*next, flow->initiator.id());
        }
        this->armTimer();
    }

    std::optional<TimePoint> nextTimerExpiry() const
    {
        std::optional<TimePoint> next;
        const auto consider = [&next](TimePoint at) { next = std::min(next.value_or(at), at); };
        if (!this->timers.empty())
            consider(this->timers.begin()->first);
        if (!this->endedFlowExpiries.empty())
            consider(this->endedFlowExpiries.front().first);
        for (const auto& [id, pending] : this->queries)
            consider(std::min(pending.resendAt, pending.expires));
        return next;
    }

    void armTimer()
    {
        const std::optional<TimePoint> next = this->nextTimerExpiry();
        if (!next || (this->armedFor && *this->armedFor <= *next))
            return;
        this->armedFor = next;
        this->timer.expires_after(*next - this->clock.now());
        this->timer.async_wait([self = this->shared_from_this()](error_code error) {
            if (error || self->isStopped)
                return;
            self->armedFor.reset();
            self->onTimer();
            if (!self->isStopped)
                self->armTimer();
        });
    }

    void onTimer()
    {
        const TimePoint now = this->clock.now();
        while (!this->isStopped && !this->timers.empty() && this->timers.begin()->first <= now) {
            const FlowId id = this->timers.begin()->second;
            this->timers.erase(this->timers.begin());
            const FlowPtr flow = this->flows[id];
            flow->timer.reset();
            InitiatorCommands commands;
            flow->initiator.onTimer(commands);
            this->executeCommands(flow, commands);
        }
        while (!this->endedFlowExpiries.empty() && this->endedFlowExpiries.front().first <= now) {
            this->flows.erase(this->endedFlowExpiries.front().second);
            this->endedFlowExpiries.pop_front();
        }
        std::vector<FlowId> expired;
        for (auto& [id, pending] : this->queries) {
            if (pending.expires <= now)
                expired.push_back(id);
            else if (pending.resendAt <= now)
                this->sendQuery(id, pending);
        }
        for (const FlowId& id : expired)
            this->endQuery(id, QueryOutcome::NoAnswer);
    }

    SessionOptions options;
    const Clock& clock;
    asio::ip::udp::socket socket;
    asio::steady_timer timer;
    std::optional<TimePoint> armedFor;
    std::mt19937_64 random;
    std::vector<char> readBuffer;
    std::vector<Entry> entries;
    std::unordered_map<FlowId, FlowPtr> flows; // Open and recently ended flows.
    std::set<std::pair<TimePoint, FlowId>> timers; // Next timer of each open flow, earliest first.
    std::deque<std::pair<TimePoint, FlowId>> endedFlowExpiries; // When to remove ended flows, oldest first.
    std::unordered_map<FlowId, PendingQuery> queries;
    bool isStopped = false;
};

struct SessionClient::OwnThread {
    asio::io_context context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> guard { asio::make_work_guard(this->context) };
    std::thread thread;
};

SessionClient::SessionClient(asio::io_context& context, SessionOptions options, const Clock& clock)
    : impl(std::make_shared<Impl>(context, std::move(options), clock))
{
    this->post([](Impl& running) { running.start(); });
}

SessionClient::SessionClient(SessionOptions options, const Clock& clock)
    : ownThread(std::make_unique<OwnThread>())
{
    this->impl = std::make_shared<Impl>(this->ownThread->context, std::move(options), clock);
    this->post([](Impl& running) { running.start(); });
    this->ownThread->thread = std::thread([&context = this->ownThread->context] { runEventLoop(context); });
}

SessionClient::~SessionClient()
{
    if (this->ownThread) {
        this->ownThread->context.stop();
        this->ownThread->thread.join();
    }
    this->impl->stop();
    this->impl.reset(); // Its timer and socket must be destroyed before the io_context of the client's thread.
}

template <typename Action> void SessionClient::post(Action action)
{
    asio::post(this->impl->context, [running = this->impl, work = std::move(action)]() mutable { work(*running); });
}

FlowId SessionClient::open(SessionRequest request, SessionHandlers handlers)
{
    const FlowId id = randomFlowId();
    this->post([id, request = std::move(request), handlers = std::move(handlers)](
                   Impl& running) mutable { running.open(id, std::move(request), std::move(handlers)); });
    return id;
}

void SessionClient::write(FlowId id, std::string bytes)
{
    this->post([id, bytes = std::move(bytes)](Impl& running) mutable { running.write(id, std::move(bytes)); });
}

void SessionClient::finish(FlowId id)
{
    this->post([id](Impl& running) { running.finish(id); });
}

void SessionClient::consumed(FlowId id, size_t bytes)
{
    this->post([id, bytes](Impl& running) { running.consumed(id, bytes); });
}

void SessionClient::cancel(FlowId id)
{
    this->post([id](Impl& running) { running.cancel(id); });
}

void SessionClient::query(FlowId id, OwnerToken token, std::function<void(QueryOutcome)> answer)
{
    this->post([id, token, answer = std::move(answer)](
                   Impl& running) mutable { running.query(id, token, std::move(answer)); });
}

void SessionClient::setEntries(std::vector<Endpoint> endpoints)
{
    this->post([endpoints = std::move(endpoints)](Impl& running) { running.setEntries(endpoints); });
}

} // namespace wasabicroft
