#include "backends/AgentServer.h"

#include "wasabicroft/Log.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

namespace wasabicroft {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    constexpr Milliseconds tickInterval { 5 }; // Resolution of flow timers.
    // Period of link heartbeats, connect timeouts and the expiry of callers.
    constexpr Milliseconds maintenanceInterval { 50 };
    constexpr size_t readBufferBytes = 256 * 1024; // Default size of a flow's send buffer.
    constexpr size_t maxCallers = 20000;
    constexpr size_t maxWaitingOpens = 4096;
    constexpr Milliseconds callerRetention { 30000 }; // Longest queue wait and reservation together, with a margin.

    OwnerOptions ownerOptions(const AgentOptions& options)
    {
        OwnerOptions owner = options.flows;
        owner.upstream = upstreamIdOf(options.name);
        owner.incarnation = randomIncarnation();
        return owner;
    }

    AdmissionOptions admissionOptions(const AgentOptions& options)
    {
        AdmissionOptions admission = options.admission;
        admission.backupSalt = upstreamIdOf(options.name).value;
        return admission;
    }

    UpstreamHealth healthFromStatus(boost::beast::http::status status)
    {
        if (status == boost::beast::http::status::ok)
            return UpstreamHealth::Ready;
        if (status == boost::beast::http::status::service_unavailable)
            return UpstreamHealth::Draining;
        return UpstreamHealth::Unknown;
    }

    void appendAddress(std::string& out, const asio::ip::address& address)
    {
        if (address.is_v4()) {
            for (const unsigned char byte : address.to_v4().to_bytes())
                out.push_back(static_cast<char>(byte));
            return;
        }
        for (const unsigned char byte : address.to_v6().to_bytes())
            out.push_back(static_cast<char>(byte));
    }

    void appendBigEndian(std::string& out, uint16_t value)
    {
        out.push_back(static_cast<char>(value >> 8));
        out.push_back(static_cast<char>(value & 0xff));
    }

} // namespace

std::string_view nameOf(UpstreamHealth health) { return upstreamHealthNames.at(static_cast<size_t>(health)); }

//-----------------------------------------------------------------------------
// [SECTION] Health probe
//-----------------------------------------------------------------------------

struct HealthProbe::Attempt {
    explicit Attempt(asio::io_context& context)
        : stream(context)
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    boost::beast::http::request<boost::beast::http::empty_body> request;
    boost::beast::http::response<boost::beast::http::string_body> response;
};

HealthProbe::HealthProbe(
    asio::io_context& ioContext, HealthProbeOptions initialOptions, std::function<void(UpstreamHealth)> onChange)
    : context(ioContext)
    , options(std::move(initialOptions))
    , changeHandler(std::move(onChange))
    , timer(ioContext)
{
}

HealthProbe::~HealthProbe() { this->stop(); }

void HealthProbe::start() { this->probe(); }

void HealthProbe::stop()
{
    *this->alive = false;
    this->timer.cancel();
    if (this->attempt)
        this->attempt->stream.cancel();
}

void HealthProbe::probe()
{
    namespace http = boost::beast::http;
    const std::shared_ptr<Attempt> current = std::make_shared<Attempt>(this->context);
    this->attempt = current;
    current->request = { http::verb::get, "/health", 11 };
    current->request.set(http::field::host, toString(this->options.endpoint));
    current->request.set(http::field::connection, "close");
    current->stream.expires_after(this->options.timeout);
    const std::shared_ptr<bool> isAlive = this->alive;
    current->stream.async_connect(toTcp(this->options.endpoint), [this, current, isAlive](error_code error) {
        if (!*isAlive)
            return;
        if (error) {
            this->report(UpstreamHealth::Unknown);
            return;
        }
        http::async_write(current->stream, current->request, [this, current, isAlive](error_code writeError, size_t) {
            if (!*isAlive)
                return;
            if (writeError) {
                this->report(UpstreamHealth::Unknown);
                return;
            }
            http::async_read(current->stream, current->buffer, current->response,
                [this, current, isAlive](error_code readError, size_t) {
                    if (!*isAlive)
                        return;
                    this->report(readError ? UpstreamHealth::Unknown : healthFromStatus(current->response.result()));
                });
        });
    });
}

void HealthProbe::report(UpstreamHealth health)
{
    this->attempt.reset();
    if (health != this->lastHealth) {
        this->lastHealth = health;
        this->changeHandler(health);
    }
    this->scheduleNext();
}

void HealthProbe::scheduleNext()
{
    this->timer.expires_after(this->options.interval);
    this->timer.async_wait([this, isAlive = this->alive](error_code error) {
        if (!error && *isAlive)
            this->probe();
    });
}

//-----------------------------------------------------------------------------
// [SECTION] AgentServer
//-----------------------------------------------------------------------------

struct AgentServer::UpstreamConnection {
    UpstreamConnection(asio::io_context& context, FlowId id, const Clock& clock)
        : socket(context)
        , flow(id)
        , started(clock.now())
    {
    }

    asio::ip::tcp::socket socket;
    FlowId flow;
    uint64_t link = 0; // Link that carried the last frame of the flow.
    TimePoint started;
    std::string proxyHeader; // Sent first; not part of the flow's bytes.
    std::string writeQueue; // For the upstream, not yet being written.
    std::string writeBuffer;
    bool isConnected = false;
    bool isReading = false;
    bool upstreamFinished = false;
    bool finishRequested = false; // FinishUpstream: half-close after the queued bytes are written.
    bool finSent = false;
    bool isClosed = false;
};

AgentServer::AgentServer(
    asio::io_context& ioContext, AgentOptions initialOptions, const Clock& timeSource, Metrics& counters)
    : context(ioContext)
    , options(std::move(initialOptions))
    , clock(timeSource)
    , metrics(counters)
    , admission(admissionOptions(this->options), timeSource)
    , owner(ownerOptions(this->options), this->admission, timeSource)
    , acceptor(ioContext)
    , tickTimer(ioContext)
    , readBuffer(readBufferBytes)
    , lastMaintenance(timeSource.now())
{
}

AgentServer::~AgentServer() { this->stop(); }

Result<Endpoint> AgentServer::start()
{
    Result<asio::ip::tcp::acceptor> listener = openListener(this->context, this->options.linkEndpoint);
    if (!listener)
        return listener.error();
    this->acceptor = std::move(listener.value());
    this->accept();
    this->scheduleTick();
    return fromTcp(this->acceptor.local_endpoint());
}

void AgentServer::stop()
{
    if (std::exchange(this->isStopped, true))
        return;
    error_code ignored;
    this->acceptor.close(ignored);
    this->tickTimer.cancel();
    for (const auto& [id, connection] : this->connections) {
        connection->isClosed = true;
        resetConnection(connection->socket);
    }
    this->connections.clear();
    for (const auto& [id, link] : this->links)
        link->close("stopping");
    this->links.clear();
}

//-----------------------------------------------------------------------------
// Links
//-----------------------------------------------------------------------------

void AgentServer::accept()
{
    this->acceptor.async_accept([this](error_code error, asio::ip::tcp::socket socket) {
        if (this->isStopped || error == asio::error::operation_aborted)
            return;
        if (error || this->links.size() >= this->options.maxLinks) {
            this->metrics.add("wasabi_accept_failures_total", "listener=\"link\"");
        } else {
            LinkHandlers handlers;
            handlers.onFrame = [this](Link& link, Frame frame) { this->onFrame(link, std::move(frame)); };
            handlers.onWritable = [this](Link&) { this->resumeReads(); };
            handlers.onClosed = [this](Link& link, const std::string&) {
                if (this->links.erase(link.id) == 0)
                    return; // Already removed by stop().
                OwnerCommands commands;
                this->owner.onLinkLost(link.id, commands);
                this->executeCommands(commands);
            };
            const std::shared_ptr<Link> link = std::make_shared<Link>(
                std::move(socket), this->options.links, this->clock, this->metrics, std::move(handlers));
            link->id = ++this->lastLinkId;
            this->links[link->id] = link;
            link->start();
        }
        this->accept();
    });
}

void AgentServer::onFrame(Link& link, Frame frame)
{
    if (this->isStopped)
        return;
    const bool isControl
        = frame.kind == FrameKind::Announce || frame.kind == FrameKind::Fetch || frame.kind == FrameKind::Value;
    const std::weak_ptr<Link> weakLink = link.weak_from_this();
    const auto reply = [weakLink](const Frame& answer) {
        if (const std::shared_ptr<Link> open = weakLink.lock())
            open->send(answer);
    };
    if (isControl) {
        if (this->onControlFrame)
            this->onControlFrame(link.id, std::move(frame), reply);
        return;
    }
    if (frame.configVersion > this->store.version().version && this->onNewerVersion)
        this->onNewerVersion(link.id, frame.configVersion, reply);
    if (!this->deferForConfigVersion(link.id, frame))
        this->handleFrame(link.id, frame);
}

void AgentServer::handleFrame(uint64_t link, const Frame& frame)
{
    if (frame.kind == FrameKind::Open)
        this->recordCaller(frame);
    OwnerCommands commands;
    this->owner.onFrame(frame, ReplyRoute { link, frame.replyAddress }, commands);
    this->executeCommands(commands);
    const auto found = this->connections.find(frame.flow);
    if (found != this->connections.end()) {
        found->second->link = link;
        this->readUpstream(ConnectionPtr(found->second));
    }
    this->finishShutdownIfDrained();
}

bool AgentServer::deferForConfigVersion(uint64_t link, Frame& frame)
{
    if (frame.kind == FrameKind::Cancel)
        std::erase_if(this->waitingOpens, [&](const WaitingOpen& open) { return open.frame.flow == frame.flow; });
    const bool isDeferred = frame.kind == FrameKind::Open && frame.configVersion > this->store.version().version
        && frame.configVersion > this->timedOutVersion && this->options.configVersionWait.count() > 0
        && this->waitingOpens.size() < maxWaitingOpens;
    if (isDeferred)
        this->waitingOpens.push_back({ link, std::move(frame), this->clock.now() });
    return isDeferred;
}

void AgentServer::processWaitingOpens()
{
    const TimePoint cutoff = this->clock.now() - this->options.configVersionWait;
    std::deque<WaitingOpen> waiting = std::exchange(this->waitingOpens, {});
    for (WaitingOpen& open : waiting) {
        const bool isInForce = open.frame.configVersion <= this->store.version().version;
        if (!isInForce && open.receivedAt > cutoff) {
            this->waitingOpens.push_back(std::move(open));
            continue;
        }
        if (!isInForce) {
            this->timedOutVersion = std::max(this->timedOutVersion, open.frame.configVersion);
            this->metrics.add("wasabi_missed_versions_total");
        }
        if (this->links.contains(open.link))
            this->handleFrame(open.link, open.frame);
    }
}

void AgentServer::recordCaller(const Frame& open)
{
    // A plain flow carries the caller's address as its request id, a session flow as its reply address.
    const bool isPlain = open.replyAddress.empty();
    if (this->callers.size() >= maxCallers)
        return;
    if (this->callers
            .try_emplace(open.flow,
                FlowCaller { isPlain ? open.key : open.replyAddress.substr(0, open.replyAddress.find(' ')), open.key,
                    this->clock.now() })
            .second)
        this->callerOrder.emplace_back(this->clock.now(), open.flow);
}

void AgentServer::expireCallers()
{
    const TimePoint cutoff = this->clock.now() - callerRetention;
    while (!this->callerOrder.empty() && this->callerOrder.front().first < cutoff) {
        this->callers.erase(this->callerOrder.front().second);
        this->callerOrder.pop_front();
    }
}

void AgentServer::logDecision(const Frame& reply)
{
    const auto caller = this->callers.find(reply.flow);
    const std::string address = caller == this->callers.end() ? "" : caller->second.address;
    const std::string requestId = caller == this->callers.end() ? "" : caller->second.requestId;
    logEvent(Event::ReservationDecided,
        { { "flow", reply.flow }, { "service", reply.service }, { "caller", address }, { "request-id", requestId },
            { "class", nameOf(reply.trafficClass) }, { "decision", nameOf(reply.kind) },
            { "reason", nameOf(reply.reason) }, { "reservation", reply.token.reservation },
            { "busy-slots", static_cast<unsigned>(reply.load.busySlots) },
            { "slots", static_cast<unsigned>(reply.load.slots) },
            { "queue-length", static_cast<unsigned>(reply.load.queueLength) },
            { "connections", reply.load.connections } });
    this->metrics.add("wasabi_reservations_total", "decision=\"" + std::string(nameOf(reply.kind)) + '"');
}

//-----------------------------------------------------------------------------
// Upstream
//-----------------------------------------------------------------------------

void AgentServer::executeCommands(OwnerCommands& commands)
{
    for (OwnerCommand& command : commands) {
        if (SendToInitiator* send = std::get_if<SendToInitiator>(&command)) {
            Frame& frame = send->frame;
            if (frame.configVersion == 0)
                frame.configVersion = this->store.version().version;
            const auto link = this->links.find(send->route.link);
            if (link == this->links.end() || !link->second->send(frame))
                this->metrics.add("wasabi_frames_dropped_total", "cause=\"no-link\"");
            // Logged after the reply was sent, so that the reply does not wait for the log.
            if (frame.kind == FrameKind::Opened || frame.kind == FrameKind::Pass || frame.kind == FrameKind::Refused)
                this->logDecision(frame);
        } else if (const ConnectUpstream* request = std::get_if<ConnectUpstream>(&command)) {
            this->connect(*request);
        } else if (WriteUpstream* write = std::get_if<WriteUpstream>(&command)) {
            const auto found = this->connections.find(write->flow);
            if (found == this->connections.end())
                continue;
            found->second->writeQueue += write->bytes;
            this->writeUpstream(ConnectionPtr(found->second));
        } else if (const FinishUpstream* finish = std::get_if<FinishUpstream>(&command)) {
            const auto found = this->connections.find(finish->flow);
            if (found == this->connections.end())
                continue;
            found->second->finishRequested = true;
            this->writeUpstream(ConnectionPtr(found->second));
        } else if (const ResetUpstream* reset = std::get_if<ResetUpstream>(&command)) {
            const auto found = this->connections.find(reset->flow);
            if (found != this->connections.end())
                this->closeConnection(ConnectionPtr(found->second), true);
        }
    }
    commands.clear();
}

const UpstreamConfig* AgentServer::ownUpstreamConfig(const ServiceConfig& service) const
{
    for (const UpstreamConfig& upstream : service.upstreams) {
        if (upstream.name == this->options.name)
            return &upstream;
    }
    return nullptr;
}

// PROXY protocol v2 header: signature, command PROXY or LOCAL, address family, addresses of caller and listener.
std::string AgentServer::proxyHeader(FlowId flow, const ServiceConfig& service, TrafficClass trafficClass) const
{
    std::string header("\r\n\r\n\0\r\nQUIT\n", 12);
    const auto caller = this->callers.find(flow);
    const Result<Endpoint> source
        = parseEndpoint(caller == this->callers.end() ? std::string() : caller->second.address);
    const ListenerConfig* listener = nullptr;
    for (const ListenerConfig& candidate : service.listeners) {
        if (!listener || candidate.trafficClass == trafficClass)
            listener = &candidate;
    }
    constexpr char localCommand = 0x20;
    constexpr char proxyCommand = 0x21;
    constexpr char tcpOverV4 = 0x11;
    constexpr char tcpOverV6 = 0x21;
    if (!source || !listener) {
        header += localCommand;
        header += '\0';
        appendBigEndian(header, 0);
        return header;
    }
    const asio::ip::tcp::endpoint from = toTcp(source.value());
    const asio::ip::tcp::endpoint to = toTcp(listener->endpoint);
    if (from.address().is_v4() != to.address().is_v4()) {
        header += localCommand;
        header += '\0';
        appendBigEndian(header, 0);
        return header;
    }
    std::string addresses;
    appendAddress(addresses, from.address());
    appendAddress(addresses, to.address());
    appendBigEndian(addresses, from.port());
    appendBigEndian(addresses, to.port());
    header += proxyCommand;
    header += from.address().is_v4() ? tcpOverV4 : tcpOverV6;
    appendBigEndian(header, static_cast<uint16_t>(addresses.size()));
    return header + addresses;
}

void AgentServer::connect(const ConnectUpstream& request)
{
    const ConnectionPtr connection = std::make_shared<UpstreamConnection>(this->context, request.flow, this->clock);
    this->connections[request.flow] = connection;
    this->connecting.push_back(connection);
    const std::shared_ptr<const Snapshot> snapshot = this->store.current();
    const ServiceConfig* service = snapshot ? snapshot->find(request.service) : nullptr;
    const UpstreamConfig* upstream = service ? this->ownUpstreamConfig(*service) : nullptr;
    if (!upstream) {
        asio::post(this->context, [this, connection] { this->onConnected(connection, asio::error::host_not_found); });
        return;
    }
    if (service->proxyHeader)
        connection->proxyHeader = this->proxyHeader(request.flow, *service, request.trafficClass);
    connection->socket.async_connect(
        toTcp(upstream->address), [this, connection](error_code error) { this->onConnected(connection, error); });
}

void AgentServer::onConnected(const ConnectionPtr& connection, error_code error)
{
    if (connection->isClosed || this->isStopped)
        return;
    OwnerCommands commands;
    if (error) {
        this->metrics.add("wasabi_upstream_connect_failures_total");
        logEvent(Event::UpstreamConnectFailed, { { "flow", connection->flow }, { "cause", error.message() } });
        this->closeConnection(connection, true);
        this->owner.onUpstreamConnectFailed(connection->flow, commands);
        this->executeCommands(commands);
        this->finishShutdownIfDrained();
        return;
    }
    connection->isConnected = true;
    setConnectionOptions(connection->socket, this->options.userTimeout);
    error_code ignored;
    connection->socket.non_blocking(true, ignored);
    this->writeUpstream(connection);
    this->owner.onUpstreamConnected(connection->flow, commands);
    this->executeCommands(commands);
    this->readUpstream(connection);
}

void AgentServer::readUpstream(const ConnectionPtr& connection)
{
    if (!connection->isConnected || connection->isReading || connection->isClosed || connection->upstreamFinished)
        return;
    const auto link = this->links.find(connection->link);
    const bool isLinkFull = link != this->links.end() && !link->second->hasRoom();
    // Waits for this much room: small reads into a nearly full buffer would become small frames.
    const size_t minReadBytes = std::min(this->options.flows.maxPayloadBytes, this->options.flows.sendBufferBytes);
    if (isLinkFull || this->owner.freeSendBuffer(connection->flow) < minReadBytes)
        return;
    connection->isReading = true;
    connection->socket.async_wait(asio::socket_base::wait_read, [this, connection](error_code error) {
        connection->isReading = false;
        if (connection->isClosed || error || this->isStopped)
            return;
        this->onUpstreamReadable(connection);
    });
}

void AgentServer::onUpstreamReadable(const ConnectionPtr& connection)
{
    const size_t limit = std::min(this->readBuffer.size(), this->owner.freeSendBuffer(connection->flow));
    if (limit == 0)
        return; // Reading resumes with the next Ack.
    error_code error;
    const size_t size = connection->socket.read_some(asio::buffer(this->readBuffer.data(), limit), error);
    OwnerCommands commands;
    if (size > 0) {
        this->owner.onUpstreamBytes(connection->flow, { this->readBuffer.data(), size }, commands);
    } else if (error == asio::error::eof) {
        connection->upstreamFinished = true;
        this->owner.onUpstreamEnd(connection->flow, commands);
    } else if (error && error != asio::error::would_block && error != asio::error::try_again) {
        this->closeConnection(connection, true);
        this->owner.onUpstreamReset(connection->flow, commands);
    }
    this->executeCommands(commands);
    this->closeIfFinished(connection);
    this->readUpstream(connection);
    this->finishShutdownIfDrained();
}

void AgentServer::writeUpstream(const ConnectionPtr& connection)
{
    if (!connection->isConnected || connection->isClosed || !connection->writeBuffer.empty())
        return;
    const size_t headerBytes = connection->proxyHeader.size();
    if (headerBytes > 0)
        connection->writeBuffer = std::exchange(connection->proxyHeader, {});
    connection->writeBuffer += std::exchange(connection->writeQueue, {});
    if (connection->writeBuffer.empty()) {
        if (connection->finishRequested && !std::exchange(connection->finSent, true)) {
            error_code ignored;
            connection->socket.shutdown(asio::socket_base::shutdown_send, ignored);
        }
        this->closeIfFinished(connection);
        return;
    }
    asio::async_write(connection->socket, asio::buffer(connection->writeBuffer),
        [this, connection, headerBytes](error_code error, size_t size) {
            connection->writeBuffer.clear();
            if (connection->isClosed || this->isStopped)
                return;
            OwnerCommands commands;
            if (error) {
                this->closeConnection(connection, true);
                this->owner.onUpstreamReset(connection->flow, commands);
            } else if (size > headerBytes) {
                this->owner.onUpstreamWritten(connection->flow, size - headerBytes, commands);
            }
            this->executeCommands(commands);
            this->writeUpstream(connection);
            this->finishShutdownIfDrained();
        });
}

// Closes the socket once both directions are finished.
void AgentServer::closeIfFinished(const ConnectionPtr& connection)
{
    if (connection->finSent && connection->upstreamFinished && connection->writeBuffer.empty())
        this->closeConnection(connection, false);
}

void AgentServer::closeConnection(const ConnectionPtr& connection, bool reset)
{
    if (std::exchange(connection->isClosed, true))
        return;
    error_code ignored;
    if (reset)
        resetConnection(connection->socket);
    else
        connection->socket.close(ignored);
    const auto found = this->connections.find(connection->flow);
    if (found != this->connections.end() && found->second == connection)
        this->connections.erase(found);
}

// Resumes the reads that were paused because a link or a send buffer was full.
void AgentServer::resumeReads()
{
    std::vector<ConnectionPtr> open;
    open.reserve(this->connections.size());
    for (const auto& [id, connection] : this->connections)
        open.push_back(connection);
    for (const ConnectionPtr& connection : open)
        this->readUpstream(connection);
}

//-----------------------------------------------------------------------------
// Configuration, drain and timers
//-----------------------------------------------------------------------------

void AgentServer::applySnapshot(std::shared_ptr<const Snapshot> snapshot)
{
    if (this->isStopped || !this->store.acceptIfNewer(std::move(snapshot)))
        return;
    const std::shared_ptr<const Snapshot> current = this->store.current();
    std::set<ServiceId> services;
    bool isLeaving = false;
    // An upstream of several services gets the largest of their limits.
    ServiceConfig limits;
    limits.slots = 0;
    limits.connections = 0;
    limits.queueLimit = 0;
    limits.maxQueueWait = limits.rampDuration = limits.stragglerAfter = Milliseconds(0);
    for (const ServiceConfig& service : current->services) {
        const UpstreamConfig* upstream = this->ownUpstreamConfig(service);
        if (!upstream)
            continue;
        services.insert(service.id());
        isLeaving = isLeaving || upstream->leaving;
        limits.slots = std::max(limits.slots, service.slots);
        limits.connections = std::max(limits.connections, service.connections);
        limits.queueLimit = std::max(limits.queueLimit, service.queueLimit);
        limits.maxQueueWait = std::max(limits.maxQueueWait, service.maxQueueWait);
        limits.rampDuration = std::max(limits.rampDuration, service.rampDuration);
        limits.stragglerAfter = std::max(limits.stragglerAfter, service.stragglerAfter);
    }
    this->leavesByConfig = isLeaving;
    if (!services.empty()) {
        this->admission.setLimits(limits.slots, limits.connections);
        this->admission.setQueue(limits.queueLimit, limits.maxQueueWait);
        this->admission.setRamp(limits.rampDuration);
        this->admission.setStragglerAfter(limits.stragglerAfter);
    }
    OwnerCommands commands;
    this->owner.setServices(services, commands);
    this->executeCommands(commands);
    this->updateDraining();
    this->timedOutVersion = 0;
    this->processWaitingOpens();
    const ConfigVersion version = this->store.version();
    this->metrics.setCount("wasabi_config_version", "", version.version);
    logEvent(Event::AgentConfigInForce,
        { { "epoch", version.epoch }, { "version", version.version }, { "digest", version.digest },
            { "services", static_cast<uint64_t>(services.size()) }, { "leaving", isLeaving },
            { "slots", static_cast<unsigned>(limits.slots) } });
}

void AgentServer::applyMembers(const std::shared_ptr<const std::vector<Member>>& members)
{
    this->leavesByMembers = false;
    for (const Member& member : *members) {
        if (member.name == this->options.name && member.role == MemberRole::Agent)
            this->leavesByMembers = member.leaving;
    }
    this->updateDraining();
}

void AgentServer::applyHealth(UpstreamHealth value)
{
    // An unknown health does not change the last known one: an endpoint that stops answering does not end a drain.
    if (value != UpstreamHealth::Unknown)
        this->health = value;
    this->updateDraining();
}

void AgentServer::updateDraining()
{
    const bool isDraining = this->isShuttingDown || this->leavesByConfig || this->leavesByMembers
        || this->health == UpstreamHealth::Draining;
    if (isDraining == this->admission.draining())
        return;
    this->admission.setDraining(isDraining);
    logEvent(Event::UpstreamDrainChanged,
        { { "draining", isDraining }, { "health", nameOf(this->health) }, { "leaving-by-config", this->leavesByConfig },
            { "leaving-by-members", this->leavesByMembers }, { "shutting-down", this->isShuttingDown },
            { "open-flows", static_cast<uint64_t>(this->owner.openFlows()) } });
    OwnerCommands commands;
    this->owner.onTimer(commands); // Ends queued requests.
    this->executeCommands(commands);
}

void AgentServer::scheduleTick()
{
    this->tickTimer.expires_after(tickInterval);
    this->tickTimer.async_wait([this](error_code error) {
        if (error || this->isStopped)
            return;
        this->onTick();
        this->scheduleTick();
    });
}

void AgentServer::onTick()
{
    const TimePoint now = this->clock.now();
    const std::optional<TimePoint> due = this->owner.nextTimer();
    if (due && *due <= now) {
        OwnerCommands commands;
        this->owner.onTimer(commands);
        this->executeCommands(commands);
        this->resumeReads();
    }
    if (!this->waitingOpens.empty())
        this->processWaitingOpens();
    this->finishShutdownIfDrained();
    if (now - this->lastMaintenance < maintenanceInterval)
        return;
    this->lastMaintenance = now;
    for (const auto& [id, link] : this->links)
        link->onTick(false, this->options.links.heartbeatInterval);
    this->timeOutConnects();
    this->expireCallers();
}

// All connects have the same timeout, so only the oldest ones in progress need a check.
void AgentServer::timeOutConnects()
{
    while (!this->connecting.empty()) {
        const ConnectionPtr oldest = this->connecting.front().lock();
        const bool inProgress = oldest && !oldest->isClosed && !oldest->isConnected;
        if (inProgress && this->clock.now() - oldest->started <= this->options.connectTimeout)
            return;
        this->connecting.pop_front();
        if (inProgress)
            this->onConnected(oldest, asio::error::timed_out);
    }
}

void AgentServer::shutdown(std::function<void()> onDrained)
{
    this->isShuttingDown = true;
    this->drainHandler = std::move(onDrained);
    this->updateDraining();
    this->finishShutdownIfDrained();
}

void AgentServer::finishShutdownIfDrained()
{
    // Called after every event. Counting flows scans all of them, so the cheap checks come first.
    if (!this->isShuttingDown || !this->drainHandler || !this->connections.empty())
        return;
    if (this->owner.openFlows() == 0 && this->owner.reservations() == 0)
        std::exchange(this->drainHandler, nullptr)();
}

size_t AgentServer::openFlows() const { return this->owner.openFlows(); }

uint64_t AgentServer::incarnation() const { return this->owner.settings().incarnation; }

OperatorStatus AgentServer::status() const
{
    OperatorStatus status;
    if (this->isShuttingDown)
        status.notReadyCause = "shutting down";
    else if (!this->store.current())
        status.notReadyCause = "no configuration yet";
    else if (this->owner.settings().services.empty())
        status.notReadyCause = "the configuration names no upstream '" + this->options.name + "'";
    else if (this->admission.draining())
        status.notReadyCause = "draining";
    status.ready = status.notReadyCause.empty();
    const ConfigVersion version = this->store.version();
    const Load load = this->admission.load();
    status.json = boost::json::serialize(boost::json::object { { "name", this->options.name }, { "role", "agent" },
        { "ready", status.ready }, { "cause", status.notReadyCause }, { "incarnation", this->incarnation() },
        { "version",
            boost::json::object {
                { "epoch", version.epoch }, { "version", version.version }, { "digest", version.digest } } },
        { "flows",
            boost::json::object { { "reserved", this->owner.reservations() }, { "open", this->owner.openFlows() } } },
        { "load",
            boost::json::object { { "busySlots", load.busySlots }, { "slots", load.slots },
                { "queueLength", load.queueLength }, { "connections", load.connections },
                { "stragglers", this->admission.stragglers() } } },
        { "health", std::string(nameOf(this->health)) }, { "links", this->links.size() } });
    return status;
}

} // namespace wasabicroft
