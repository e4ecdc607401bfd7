#include "backends/EntryState.h"

#include "wasabicroft/Log.h"

#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <random>

namespace wasabicroft {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    constexpr Milliseconds tickInterval { 5 }; // Resolution of flow timers.
    // Period of work on links and ejections, and of retries to open listeners.
    constexpr Milliseconds maintenanceInterval { 50 };
    constexpr size_t readBufferBytes = 64 * 1024; // Holds the largest datagram.
    constexpr size_t maxListedRefusals = 20;
    constexpr size_t maxKnownUpstreams = 20000; // About three times the number of upstreams that the design targets.
    constexpr int datagramBufferBytes = 4 * 1024 * 1024;

    PlacementOptions placementOptions(const EntryOptions& options)
    {
        // Uses a pseudo-random generator, because Placement draws a random number per upstream of a pool, and a draw
        // from the operating system costs a system call.
        std::mt19937_64 generator(randomFlowId().low);
        PlacementOptions placement;
        placement.failureDomain = options.failureDomain;
        placement.maxCandidates = options.candidates;
        placement.maxWaitUpstreams = options.maxWaitUpstreams;
        placement.outlierDetection = options.outlierDetection;
        placement.random = [generator]() mutable { return generator(); };
        return placement;
    }

    // Lets one system call write all pieces without a copy.
    std::vector<asio::const_buffer> buffersOf(const std::vector<std::string>& pieces)
    {
        std::vector<asio::const_buffer> buffers;
        buffers.reserve(pieces.size());
        for (const std::string& piece : pieces)
            buffers.push_back(asio::buffer(piece));
        return buffers;
    }

    uint64_t linkNumber(UpstreamId upstream, TrafficClass trafficClass)
    {
        return upstream.value + static_cast<uint64_t>(trafficClass);
    }

} // namespace

EntryServer::EntryServer(
    asio::io_context& ioContext, EntryOptions initialOptions, const Clock& timeSource, Metrics& counters)
    : context(ioContext)
    , options(std::move(initialOptions))
    , clock(timeSource)
    , metrics(counters)
    , links(ioContext, this->options.links, timeSource, counters,
          LinkPoolHandlers { [this](UpstreamId upstream, TrafficClass trafficClass, Frame frame) {
                                this->onAgentFrame(upstream, trafficClass, std::move(frame));
                            },
              [this] { this->sendDeferredAcks(); },
              [this](const LinkKey& linkKey) {
                  this->forEachFlowOnLink(linkKey, [this](const PlainFlowPtr& flow) { this->readCaller(flow); });
              },
              [this](const LinkKey& linkKey) {
                  this->forEachFlowOnLink(linkKey, [this](const PlainFlowPtr& flow) {
                      InitiatorCommands commands;
                      flow->initiator.onTransportReset(commands);
                      this->executeCommands(flow, commands);
                  });
              },
              [this](const LinkKey& linkKey) {
                  this->placement.onFailure(linkKey.upstream);
                  this->forEachFlowOnLink(linkKey, [this, linkKey](const PlainFlowPtr& flow) {
                      this->onCandidateUnreachable(flow, linkKey.upstream);
                  });
              } })
    , placement(placementOptions(this->options), timeSource)
    , tickTimer(ioContext)
    , readBuffer(readBufferBytes)
    , lastMaintenance(timeSource.now())
{
}

EntryServer::~EntryServer() { this->stop(); }

void EntryServer::start() { this->scheduleTick(); }

void EntryServer::stop()
{
    if (std::exchange(this->isStopped, true))
        return;
    this->tickTimer.cancel();
    while (!this->listeners.empty())
        this->closeListener(this->listeners.begin()->first);
    for (const auto& [id, flow] : this->flows) {
        flow->isClosed = true;
        resetConnection(flow->socket);
    }
    this->flows.clear();
    this->flowsByLink.clear();
    this->links.closeAll();
}

//-----------------------------------------------------------------------------
// Listeners and pools
//-----------------------------------------------------------------------------

void EntryServer::applySnapshot(std::shared_ptr<const Snapshot> snapshot)
{
    if (this->isStopped || !this->store.acceptIfNewer(std::move(snapshot)))
        return;
    this->updatePools();
    this->openListeners();
    const ConfigVersion version = this->store.version();
    this->metrics.setCount("wasabi_config_version", "", version.version);
    logEvent(Event::EntryConfigInForce,
        { { "epoch", version.epoch }, { "version", version.version }, { "digest", version.digest },
            { "listeners", static_cast<uint64_t>(this->listeners.size()) },
            { "open-flows", static_cast<uint64_t>(this->flows.size()) } });
}

void EntryServer::applyMembers(std::shared_ptr<const std::vector<Member>> list)
{
    if (this->isStopped)
        return;
    this->members = std::move(list);
    boost::json::array memberList;
    for (const Member& member : *this->members)
        memberList.push_back(boost::json::object { { "name", member.name }, { "leaving", member.leaving } });
    this->membersJson = boost::json::serialize(memberList);
    this->updatePools();
}

void EntryServer::updatePools()
{
    const std::shared_ptr<const Snapshot> snapshot = this->store.current();
    if (!snapshot)
        return;
    std::set<UpstreamId> leaving;
    if (this->members) {
        for (const Member& member : *this->members) {
            if (member.leaving && member.role == MemberRole::Agent)
                leaving.insert(upstreamIdOf(member.name));
        }
    }
    if (this->upstreams.size() > maxKnownUpstreams)
        this->upstreams.clear();
    for (const auto& [service, ratio] : this->retryBudgetRatios) {
        if (!snapshot->find(service))
            this->placement.setPool(service, {});
    }
    for (const ServiceConfig& service : snapshot->services) {
        std::vector<PlacementUpstream> pool;
        for (const UpstreamConfig& upstream : service.upstreams) {
            const UpstreamId id = upstreamIdOf(upstream.name);
            pool.push_back({ id, upstream.failureDomain, service.slots, upstream.leaving || leaving.contains(id) });
            this->upstreams[id].name = upstream.name;
            this->upstreams[id].services.insert(service.id());
            this->links.setAddress(id, upstream.agent);
        }
        this->placement.setPool(service.id(), std::move(pool));
        const auto [ratio, isNew] = this->retryBudgetRatios.try_emplace(service.id(), service.retryBudget);
        if (isNew || ratio->second != service.retryBudget)
            this->placement.retryBudget(service.id()) = RetryBudget(service.retryBudget);
        ratio->second = service.retryBudget;
    }
}

std::string EntryServer::upstreamName(UpstreamId id) const
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? toString(id) : found->second.name;
}

void EntryServer::openListeners()
{
    const std::shared_ptr<const Snapshot> snapshot = this->store.current();
    if (!snapshot || this->isShuttingDown || this->isStopped)
        return;
    std::map<std::string, std::pair<const ServiceConfig*, const ListenerConfig*>> wanted;
    for (const ServiceConfig& service : snapshot->services) {
        for (const ListenerConfig& listener : service.listeners)
            wanted[service.name + '/' + listener.name] = { &service, &listener };
    }
    // Listeners are closed before others are opened, because one change may move an address from one to another.
    std::vector<std::string> obsolete;
    for (const auto& [key, listener] : this->listeners) {
        const auto found = wanted.find(key);
        if (found == wanted.end() || found->second.second->endpoint != listener->configured)
            obsolete.push_back(key);
    }
    for (const std::string& key : obsolete)
        this->closeListener(key);
    this->retryListeners = false;
    for (const auto& [key, config] : wanted) {
        const auto found = this->listeners.find(key);
        if (found == this->listeners.end())
            this->retryListeners = !this->openListener(*config.first, *config.second) || this->retryListeners;
        else
            found->second->trafficClass = config.second->trafficClass;
    }
}

bool EntryServer::openListener(const ServiceConfig& service, const ListenerConfig& config)
{
    const std::string key = service.name + '/' + config.name;
    Endpoint address = config.endpoint;
    if (!this->options.listenAddress.empty())
        address.address = this->options.listenAddress;
    Result<asio::ip::tcp::acceptor> acceptor = wasabicroft::openListener(this->context, address);
    error_code error;
    std::shared_ptr<Listener> listener;
    if (acceptor) {
        listener = std::make_shared<Listener>(this->context, std::move(acceptor.value()));
        listener->bound = fromTcp(listener->acceptor.local_endpoint());
        const asio::ip::udp::endpoint udpAddress = toUdp(listener->bound);
        listener->datagramSocket.open(udpAddress.protocol(), error);
        if (!error)
            listener->datagramSocket.bind(udpAddress, error);
    }
    if (!listener || error) {
        this->metrics.add("wasabi_listener_failures_total", serviceLabel(service.name));
        logEvent(Event::ListenerFailed,
            { { "service", service.name }, { "listener", config.name }, { "address", toString(address) },
                { "cause", acceptor ? "UDP: " + error.message() : acceptor.error().message } });
        return false; // Tried again after maintenanceInterval.
    }
    listener->datagramSocket.non_blocking(true, error);
    listener->datagramSocket.set_option(asio::socket_base::receive_buffer_size(datagramBufferBytes), error);
    listener->key = key;
    listener->name = config.name;
    listener->serviceName = service.name;
    listener->service = service.id();
    listener->trafficClass = config.trafficClass;
    listener->configured = config.endpoint;
    this->listeners[key] = listener;
    this->listenersByService[listener->service].push_back(listener);
    logEvent(Event::ListenerOpened,
        { { "service", service.name }, { "listener", config.name }, { "address", toString(listener->bound) },
            { "class", nameOf(config.trafficClass) } });
    this->accept(listener);
    this->receiveDatagram(listener);
    return true;
}

void EntryServer::closeListener(const std::string& key)
{
    const auto found = this->listeners.find(key);
    if (found == this->listeners.end())
        return;
    const std::shared_ptr<Listener> listener = found->second;
    this->listeners.erase(found);
    const auto sameService = this->listenersByService.find(listener->service);
    std::erase(sameService->second, listener);
    if (sameService->second.empty())
        this->listenersByService.erase(sameService);
    listener->isClosed = true;
    error_code ignored;
    listener->acceptor.close(ignored);
    listener->datagramSocket.close(ignored);
    logEvent(Event::ListenerClosed,
        { { "service", listener->serviceName }, { "listener", listener->name },
            { "address", toString(listener->bound) } });
}

std::optional<Endpoint> EntryServer::boundEndpoint(const std::string& service, const std::string& listener) const
{
    const auto found = this->listeners.find(service + '/' + listener);
    if (found == this->listeners.end())
        return std::nullopt;
    return found->second->bound;
}

//-----------------------------------------------------------------------------
// Plain flows
//-----------------------------------------------------------------------------

void EntryServer::accept(const std::shared_ptr<Listener>& listener)
{
    listener->acceptor.async_accept([this, listener](error_code error, asio::ip::tcp::socket socket) {
        if (listener->isClosed || this->isStopped)
            return;
        if (error)
            this->metrics.add("wasabi_accept_failures_total", serviceLabel(listener->serviceName));
        else
            this->startFlow(listener, std::move(socket));
        this->accept(listener);
    });
}

void EntryServer::startFlow(const std::shared_ptr<Listener>& listener, asio::ip::tcp::socket socket)
{
    error_code error;
    const asio::ip::tcp::endpoint remote = socket.remote_endpoint(error);
    if (error || this->flows.size() >= this->options.maxFlows) {
        this->metrics.add("wasabi_flows_refused_total", serviceLabel(listener->serviceName));
        resetConnection(socket);
        return;
    }
    setConnectionOptions(socket, this->options.userTimeout);
    socket.non_blocking(true, error);

    InitiatorOptions initiatorOptions = this->options.flows;
    initiatorOptions.service = listener->service;
    initiatorOptions.deferAcks = true;
    initiatorOptions.trafficClass = listener->trafficClass;
    initiatorOptions.configVersion = this->store.version().version;
    // The agent logs the request id and uses this address in the PROXY protocol header.
    initiatorOptions.requestId = toString(fromTcp(remote));
    const FlowId id = randomFlowId();
    const ServiceId service = listener->service;
    initiatorOptions.mayRetry = [this, service] { return this->placement.retryBudget(service).tryRetry(); };
    initiatorOptions.plan = [this, service] { return this->placement.plan(service); };
    const PlainFlowPtr flow
        = std::make_shared<PlainFlow>(std::move(socket), id, std::move(initiatorOptions), this->clock);
    flow->caller = toString(fromTcp(remote));
    flow->listener = listener->name;
    flow->serviceName = listener->serviceName;
    const PlacementPlan plan = this->placement.plan(service);
    const bool mayWait = listener->trafficClass != TrafficClass::Feed; // A feed takes no slot.
    flow->candidates = plan.candidates;
    this->placement.retryBudget(service).onFirstAttempt();
    this->flows[id] = flow;
    this->metrics.add("wasabi_flows_started_total", serviceLabel(listener->serviceName));
    InitiatorCommands commands;
    flow->initiator.start(flow->candidates, commands, plan.saturated && mayWait);
    this->executeCommands(flow, commands);
}

void EntryServer::readCaller(const PlainFlowPtr& flow)
{
    if (flow->isReading || flow->callerFinished || flow->isClosed || flow->end)
        return;
    if (flow->initiator.freeSendBuffer() == 0)
        return;
    for (const LinkKey& linkKey : flow->linkKeys) {
        if (!this->links.hasRoom(linkKey))
            return;
    }
    flow->isReading = true;
    // Waits for readiness instead of reading into a buffer, so that idle flows hold no memory for reads.
    flow->socket.async_wait(asio::socket_base::wait_read, [this, flow](error_code error) {
        flow->isReading = false;
        if (flow->isClosed || error || this->isStopped)
            return;
        this->onCallerReadable(flow);
    });
}

void EntryServer::onCallerReadable(const PlainFlowPtr& flow)
{
    if (flow->end)
        return;
    const size_t limit = std::min(this->readBuffer.size(), flow->initiator.freeSendBuffer());
    if (limit == 0)
        return;
    error_code error;
    const size_t size = flow->socket.read_some(asio::buffer(this->readBuffer.data(), limit), error);
    InitiatorCommands commands;
    if (size > 0) {
        const size_t taken = flow->initiator.write({ this->readBuffer.data(), size }, commands);
        if (taken != size)
            reportViolation("initiator takes bytes up to its free send buffer", { { "flow", flow->initiator.id() } });
    } else if (error == asio::error::eof) {
        flow->callerFinished = true;
        flow->initiator.finishWriting(commands);
    } else if (error && error != asio::error::would_block && error != asio::error::try_again) {
        flow->callerFinished = true;
        flow->initiator.cancel(commands);
    }
    this->executeCommands(flow, commands);
}

void EntryServer::executeCommands(const PlainFlowPtr& flow, InitiatorCommands& commands)
{
    for (InitiatorCommand& command : commands) {
        if (SendToOwner* send = std::get_if<SendToOwner>(&command))
            this->sendToOwner(flow, *send);
        else if (DeliverToCaller* deliver = std::get_if<DeliverToCaller>(&command))
            flow->queuedForCaller.push_back(std::move(deliver->bytes));
        else if (std::holds_alternative<DeliverEndToCaller>(command))
            flow->upstreamFinished = true;
        else if (FlowEnded* end = std::get_if<FlowEnded>(&command))
            flow->end = *end;
    }
    this->updateFlow(flow);
}

void EntryServer::sendToOwner(const PlainFlowPtr& flow, SendToOwner& send)
{
    const TrafficClass trafficClass = flow->initiator.settings().trafficClass;
    const LinkKey linkKey = this->links.linkKeyFor(send.owner, trafficClass, flow->initiator.id());
    if (std::find(flow->linkKeys.begin(), flow->linkKeys.end(), linkKey) == flow->linkKeys.end()) {
        flow->linkKeys.push_back(linkKey);
        this->flowsByLink[linkKey].insert(flow->initiator.id());
        this->links.retain(linkKey);
    }
    const bool wasContacted = std::find(flow->contactedUpstreams.begin(), flow->contactedUpstreams.end(), send.owner)
        != flow->contactedUpstreams.end();
    if (send.frame.kind == FrameKind::Open && !wasContacted)
        flow->contactedUpstreams.push_back(send.owner);
    const bool isSent = this->links.send(send.owner, trafficClass, send.frame);
    if (isSent || send.frame.kind != FrameKind::Open)
        return;
    // Posted, because the commands of the current event are still being executed.
    asio::post(this->context, [this, flow, owner = send.owner] {
        if (!flow->isClosed)
            this->onCandidateUnreachable(flow, owner);
    });
}

// Called when the link to an upstream can't be opened or was lost. A flow that waits for the reply of that upstream
// asks the next candidate at once instead of after the timeout.
void EntryServer::onCandidateUnreachable(const PlainFlowPtr& flow, UpstreamId upstream)
{
    if (flow->isClosed || flow->end)
        return;
    InitiatorCommands commands;
    flow->initiator.onUnreachable(upstream, commands);
    this->executeCommands(flow, commands);
}

// After each event of a flow: logs its placement, schedules its next timer and continues its reads and writes.
void EntryServer::updateFlow(const PlainFlowPtr& flow)
{
    if (flow->isClosed)
        return;
    if (flow->isPlacementLogged && flow->initiator.phase() == InitiatorPhase::Opening) {
        // The owner handed nothing to its upstream, so the flow is placed again.
        flow->isPlacementLogged = false;
        if (flow->countedOwner)
            this->placement.onFlowEnded(*std::exchange(flow->countedOwner, std::nullopt));
    }
    if (!flow->isPlacementLogged && (flow->initiator.phase() == InitiatorPhase::Bound || flow->end))
        this->logPlacement(*flow);
    const std::optional<TimePoint> next = flow->initiator.nextTimer();
    if (next && !flow->end && (!flow->timerDue || *next < *flow->timerDue)) {
        flow->timerDue = next;
        this->timers.push({ *next, flow->initiator.id() });
    }
    this->writeCaller(flow);
    this->readCaller(flow);
}

// Counts a failure of each candidate that was asked and did not reply in time.
void EntryServer::reportUnansweredCandidates(const PlainFlow& flow)
{
    if (flow.end && flow.end->reason == Reason::Cancelled)
        return; // The caller closed before the time for a reply was over.
    for (const CandidateReply& reply : flow.initiator.replies()) {
        const bool isAsked = std::find(flow.contactedUpstreams.begin(), flow.contactedUpstreams.end(), reply.upstream)
            != flow.contactedUpstreams.end();
        if (isAsked && reply.reply == FrameKind::Open && !reply.queued)
            this->placement.onFailure(reply.upstream);
    }
}

std::string EntryServer::placementReason(const PlainFlow& flow, bool isBound)
{
    if (!isBound)
        return flow.candidates.empty() ? "no usable upstream" : "no candidate granted a reservation";
    for (const CandidateReply& reply : flow.initiator.replies()) {
        if (reply.upstream == flow.initiator.token().owner && reply.queued)
            return reply.backup ? "first free slot as a backup" : "shortest queue";
    }
    return flow.contactedUpstreams.size() > 1 ? "next candidate with room" : "first candidate with room";
}

void EntryServer::logPlacement(PlainFlow& flow)
{
    flow.isPlacementLogged = true;
    this->reportUnansweredCandidates(flow);
    const bool isBound = flow.initiator.phase() == InitiatorPhase::Bound || flow.initiator.token().reservation != 0;
    std::string candidates;
    for (const UpstreamId& candidate : flow.candidates)
        candidates += (candidates.empty() ? "" : ",") + this->upstreamName(candidate);
    std::string replies;
    for (const CandidateReply& reply : flow.initiator.replies()) {
        if (std::find(flow.contactedUpstreams.begin(), flow.contactedUpstreams.end(), reply.upstream)
            == flow.contactedUpstreams.end())
            continue;
        replies += (replies.empty() ? "" : ",") + this->upstreamName(reply.upstream) + ':';
        replies += reply.reply == FrameKind::Open ? "silent" : nameOf(reply.reply);
        if (reply.reason != Reason::None)
            replies += '(' + std::string(nameOf(reply.reason)) + ')';
        if (reply.queued)
            replies += reply.backup ? "(backup)" : "(queued)";
    }
    const UpstreamId owner = flow.initiator.token().owner;
    const std::string reason = placementReason(flow, isBound);
    const Milliseconds wait = std::chrono::duration_cast<Milliseconds>(this->clock.now() - flow.started);
    logEvent(isBound ? Event::FlowPlaced : Event::FlowNotPlaced,
        { { "flow", flow.initiator.id() }, { "service", flow.serviceName }, { "listener", flow.listener },
            { "caller", flow.caller }, { "candidates", candidates }, { "replies", replies },
            { "choice", isBound ? this->upstreamName(owner) : "none" }, { "reason", reason },
            { "reservation", flow.initiator.token().reservation }, { "wait-ms", wait } });
    this->metrics.observe("wasabi_placement_seconds", serviceLabel(flow.serviceName), this->clock.now() - flow.started);
    if (!isBound)
        return;
    flow.countedOwner = owner;
    this->placement.onFlowStarted(owner);
}

void EntryServer::writeCaller(const PlainFlowPtr& flow)
{
    if (flow->isClosed || !flow->writingToCaller.empty())
        return;
    const bool isBroken = flow->end && flow->end->outcome != FlowOutcome::Completed;
    if (flow->queuedForCaller.empty() || isBroken) {
        if (flow->end)
            this->closeCaller(flow);
        else if (flow->upstreamFinished && !std::exchange(flow->finSent, true)) {
            error_code ignored;
            flow->socket.shutdown(asio::socket_base::shutdown_send, ignored);
        }
        return;
    }
    std::swap(flow->writingToCaller, flow->queuedForCaller);
    asio::async_write(flow->socket, buffersOf(flow->writingToCaller), [this, flow](error_code error, size_t size) {
        flow->writingToCaller.clear();
        if (flow->isClosed || this->isStopped)
            return;
        InitiatorCommands commands;
        if (flow->end) { // The flow has ended and takes no more events.
            if (error)
                flow->queuedForCaller.clear();
        } else if (error)
            flow->initiator.cancel(commands);
        else
            flow->initiator.onDelivered(size, commands);
        this->executeCommands(flow, commands);
    });
}

// Closes the caller's connection after the flow has ended and all bytes were written. Only a completed flow and a
// refusal end with FIN: a caller must never take the bytes of a broken flow for a complete answer.
void EntryServer::closeCaller(const PlainFlowPtr& flow)
{
    if (flow->discardUntil)
        return;
    error_code ignored;
    const FlowEnded& end = *flow->end;
    if (end.outcome == FlowOutcome::Completed) {
        flow->socket.shutdown(asio::socket_base::shutdown_both, ignored);
        flow->socket.close(ignored);
        this->eraseFlow(flow);
        return;
    }
    const std::shared_ptr<const Snapshot> snapshot = this->store.current();
    const ServiceConfig* service = snapshot ? snapshot->find(flow->initiator.settings().service) : nullptr;
    if (end.outcome != FlowOutcome::NotRun || !service || service->refusal.empty()) {
        resetConnection(flow->socket);
        this->eraseFlow(flow);
        return;
    }
    // The socket is new or idle in this direction, so the few bytes of a refusal fit into the kernel's send buffer.
    asio::write(flow->socket, asio::buffer(service->refusal), ignored);
    flow->socket.shutdown(asio::socket_base::shutdown_send, ignored);
    this->metrics.add("wasabi_refusals_sent_total", serviceLabel(flow->serviceName));
    // Closing with unread bytes of the caller would send RST, and the caller might lose the refusal.
    flow->discardUntil = this->clock.now() + this->options.refusalLinger;
    this->timers.push({ *flow->discardUntil, flow->initiator.id() });
    this->discardCallerBytes(flow);
}

void EntryServer::discardCallerBytes(const PlainFlowPtr& flow)
{
    flow->socket.async_wait(asio::socket_base::wait_read, [this, flow](error_code error) {
        if (flow->isClosed || this->isStopped)
            return;
        size_t size = 0;
        if (!error)
            size = flow->socket.read_some(asio::buffer(this->readBuffer), error);
        const bool isWaiting = error == asio::error::would_block || error == asio::error::try_again;
        if (size > 0 || isWaiting) {
            this->discardCallerBytes(flow);
            return;
        }
        error_code ignored;
        flow->socket.close(ignored);
        this->eraseFlow(flow);
    });
}

void EntryServer::eraseFlow(const PlainFlowPtr& flow)
{
    if (std::exchange(flow->isClosed, true))
        return;
    const FlowId id = flow->initiator.id();
    for (const LinkKey& linkKey : flow->linkKeys) {
        this->links.release(linkKey);
        const auto found = this->flowsByLink.find(linkKey);
        if (found == this->flowsByLink.end())
            continue;
        found->second.erase(id);
        if (found->second.empty())
            this->flowsByLink.erase(found);
    }
    if (flow->countedOwner)
        this->placement.onFlowEnded(*flow->countedOwner);
    const FlowEnded end = flow->end.value_or(FlowEnded());
    const std::string owner = flow->countedOwner ? this->upstreamName(*flow->countedOwner) : "none";
    const Milliseconds duration = std::chrono::duration_cast<Milliseconds>(this->clock.now() - flow->started);
    logEvent(Event::FlowEnded,
        { { "flow", id }, { "service", flow->serviceName }, { "caller", flow->caller }, { "upstream", owner },
            { "outcome", nameOf(end.outcome) }, { "reason", nameOf(end.reason) }, { "duration-ms", duration } });
    this->metrics.add("wasabi_flows_ended_total",
        serviceLabel(flow->serviceName) + ",outcome=\"" + std::string(nameOf(end.outcome)) + '"');
    if (end.outcome == FlowOutcome::NotRun) {
        this->lastRefusals.push_back(
            toString(id) + ' ' + flow->serviceName + ' ' + flow->caller + ' ' + std::string(nameOf(end.reason)));
        if (this->lastRefusals.size() > maxListedRefusals)
            this->lastRefusals.pop_front();
    }
    this->flows.erase(id);
    this->finishShutdownIfDrained();
}

void EntryServer::forEachFlowOnLink(const LinkKey& linkKey, const std::function<void(const PlainFlowPtr&)>& action)
{
    const auto found = this->flowsByLink.find(linkKey);
    if (found == this->flowsByLink.end())
        return;
    // A copy, because the action may end flows.
    const std::vector<FlowId> ids(found->second.begin(), found->second.end());
    for (const FlowId& id : ids) {
        const auto flow = this->flows.find(id);
        if (flow != this->flows.end())
            action(PlainFlowPtr(flow->second));
    }
}

//-----------------------------------------------------------------------------
// Links and timers
//-----------------------------------------------------------------------------

void EntryServer::onAgentFrame(UpstreamId from, TrafficClass trafficClass, Frame frame)
{
    this->placement.onReply(from);
    const bool isControl
        = frame.kind == FrameKind::Announce || frame.kind == FrameKind::Fetch || frame.kind == FrameKind::Value;
    if (isControl) {
        if (this->onControlFrame)
            this->onControlFrame(
                linkNumber(from, trafficClass), std::move(frame), this->makeReplyHandler(from, trafficClass));
        return;
    }
    this->reportNewerVersion(from, trafficClass, frame.configVersion);
    const bool hasLoad = frame.load.slots > 0; // Most frames of an owner carry the load.
    const Load load = frame.load;
    // After a Pass or Refused the flow plans with this load, so it is recorded before. With an Opened, the flow is
    // counted as started first, because the load already includes it.
    const bool isDecline = frame.kind == FrameKind::Pass || frame.kind == FrameKind::Refused;
    if (hasLoad && isDecline)
        this->placement.onLoad(from, load);
    // A draining upstream becomes idle, so without this it would stay the first choice for every further flow.
    if (frame.reason == Reason::Draining)
        this->placement.onDraining(from);
    if (!frame.replyAddress.empty())
        this->forwardToCaller(from, frame);
    else
        this->onPlainFlowFrame(from, trafficClass, frame);
    if (hasLoad && !isDecline)
        this->placement.onLoad(from, load);
}

void EntryServer::onPlainFlowFrame(UpstreamId from, TrafficClass trafficClass, const Frame& frame)
{
    const auto found = this->flows.find(frame.flow);
    if (found == this->flows.end()) {
        this->cancelUnknownFlow(from, trafficClass, frame);
        return;
    }
    const PlainFlowPtr flow = found->second;
    if (flow->end)
        return;
    if (frame.service != flow->initiator.settings().service) {
        this->metrics.add("wasabi_invalid_frames_total", "source=\"link\",cause=\"service\"");
        return;
    }
    InitiatorCommands commands;
    const bool hadDeferredAck = flow->initiator.hasDeferredAck();
    flow->initiator.onFrame(frame, commands);
    if (!hadDeferredAck && flow->initiator.hasDeferredAck())
        this->deferredAcks.push_back(flow);
    this->executeCommands(flow, commands);
}

void EntryServer::sendDeferredAcks()
{
    for (const PlainFlowPtr& flow : std::exchange(this->deferredAcks, {})) {
        if (flow->isClosed || flow->end)
            continue;
        InitiatorCommands commands;
        flow->initiator.sendDeferredAck(commands);
        this->executeCommands(flow, commands);
    }
}

// The flow ended here before the agent's frame arrived. Cancel frees the slot at once instead of after the expiry.
void EntryServer::cancelUnknownFlow(UpstreamId from, TrafficClass trafficClass, const Frame& frame)
{
    this->metrics.add("wasabi_frames_dropped_total", "cause=\"unknown-flow\"");
    if (frame.kind != FrameKind::Opened && frame.kind != FrameKind::Data)
        return;
    Frame cancel;
    cancel.kind = FrameKind::Cancel;
    cancel.flow = frame.flow;
    cancel.service = frame.service;
    cancel.token = frame.token;
    cancel.trafficClass = trafficClass;
    cancel.configVersion = this->store.version().version;
    this->links.send(from, trafficClass, cancel);
}

EntryServer::Reply EntryServer::makeReplyHandler(UpstreamId upstream, TrafficClass trafficClass)
{
    return [this, upstream, trafficClass](const Frame& frame) {
        if (!this->isStopped)
            this->links.send(upstream, trafficClass, frame);
    };
}

void EntryServer::reportNewerVersion(UpstreamId from, TrafficClass trafficClass, uint64_t version)
{
    if (version > this->store.version().version && this->onNewerVersion)
        this->onNewerVersion(linkNumber(from, trafficClass), version, this->makeReplyHandler(from, trafficClass));
}

void EntryServer::scheduleTick()
{
    this->tickTimer.expires_after(tickInterval);
    this->tickTimer.async_wait([this](error_code error) {
        if (error || this->isStopped)
            return;
        this->onTick();
        this->scheduleTick();
    });
}

void EntryServer::onTick()
{
    const TimePoint now = this->clock.now();
    while (!this->timers.empty() && this->timers.top().at <= now) {
        const FlowTimer timer = this->timers.top();
        this->timers.pop();
        const auto found = this->flows.find(timer.flow);
        if (found == this->flows.end())
            continue;
        const PlainFlowPtr flow = found->second;
        if (flow->discardUntil) {
            if (now >= *flow->discardUntil) {
                resetConnection(flow->socket);
                this->eraseFlow(flow);
            }
            continue;
        }
        if (flow->timerDue == timer.at)
            flow->timerDue.reset();
        if (flow->end)
            continue;
        InitiatorCommands commands;
        const std::optional<TimePoint> due = flow->initiator.nextTimer();
        if (due && *due <= now)
            flow->initiator.onTimer(commands);
        this->executeCommands(flow, commands);
    }
    if (now - this->lastMaintenance < maintenanceInterval)
        return;
    this->lastMaintenance = now;
    this->placement.onTick();
    this->links.onTick();
    if (this->retryListeners)
        this->openListeners();
}

void EntryServer::shutdown(std::function<void()> onDrained)
{
    this->isShuttingDown = true;
    this->drainHandler = std::move(onDrained);
    while (!this->listeners.empty())
        this->closeListener(this->listeners.begin()->first);
    this->finishShutdownIfDrained();
}

void EntryServer::finishShutdownIfDrained()
{
    if (this->isShuttingDown && this->flows.empty() && this->drainHandler)
        std::exchange(this->drainHandler, nullptr)();
}

size_t EntryServer::openFlows() const { return this->flows.size(); }

OperatorStatus EntryServer::status() const
{
    OperatorStatus status;
    const std::shared_ptr<const Snapshot> snapshot = this->store.current();
    if (this->isShuttingDown)
        status.notReadyCause = "shutting down";
    else if (!snapshot)
        status.notReadyCause = "no configuration yet";
    else if (this->listeners.empty())
        status.notReadyCause = "no listener is open";
    status.ready = status.notReadyCause.empty();

    std::array<uint64_t, initiatorPhaseNames.size()> phases {};
    for (const auto& [id, flow] : this->flows)
        ++phases.at(static_cast<size_t>(flow->initiator.phase()));
    boost::json::object flowsByPhase;
    for (size_t phase = 0; phase < phases.size(); ++phase) {
        if (phases.at(phase) > 0)
            flowsByPhase[initiatorPhaseNames.at(phase)] = phases.at(phase);
    }
    boost::json::array listenerList;
    for (const auto& [key, listener] : this->listeners)
        listenerList.push_back(boost::json::object { { "name", key }, { "address", toString(listener->bound) },
            { "class", std::string(nameOf(listener->trafficClass)) } });
    boost::json::array refusals;
    for (const std::string& refusal : this->lastRefusals)
        refusals.push_back(boost::json::string(refusal));
    const ConfigVersion version = this->store.version();
    status.json = boost::json::serialize(boost::json::object { { "name", this->options.name }, { "role", "entry" },
        { "ready", status.ready }, { "cause", status.notReadyCause },
        { "version",
            boost::json::object {
                { "epoch", version.epoch }, { "version", version.version }, { "digest", version.digest } } },
        { "flows", flowsByPhase }, { "links", this->links.openLinks() }, { "listeners", listenerList },
        { "lastRefusals", refusals } });
    // The member list has thousands of rows and status() runs twice a second, so the list is serialized once per
    // change.
    status.json.pop_back();
    status.json += ",\"members\":" + this->membersJson + '}';
    return status;
}

} // namespace wasabicroft
