// Discrete-event simulation of one pool with the real Placement of several entries and the real Admission of each host.
// Links only delay messages. For comparison, the same arrivals are given to three modes without these classes (random
// choice, two choices, ideal central queue) and to the simpler policy of earlier versions (sequential): two candidates,
// then one queue, without backups and without reserving ahead.
//
// Index
//   [SECTION] Model
//   [SECTION] Naive modes and the central queue
//   [SECTION] The real policy
//   [SECTION] Results
#pragma once

#include "bench/PolicyArrivals.h"
#include "wasabicroft/Admission.h"
#include "wasabicroft/Placement.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Model
//-----------------------------------------------------------------------------

class PolicyModel {
public:
    explicit PolicyModel(PolicyModelOptions modelOptions)
        : options(std::move(modelOptions))
        , random(this->options.seed + 1)
        , origin(this->clock.now())
    {
        if (this->options.mode == PolicyMode::Sequential) {
            this->options.tuning.reserveAhead = 0;
            this->options.tuning.backups = false;
            this->options.tuning.queueAtOnceWhenSaturated = false;
        }
        this->buildHosts();
        this->buildEntries();
        for (const policy_model::Arrival& arrival : policy_model::arrivals(this->options)) {
            const size_t index = this->requests.size();
            const TimePoint at = this->origin + policy_model::fromSeconds(arrival.at);
            this->requests.push_back({ at, policy_model::fromSeconds(arrival.work), arrival.entry });
            this->events.push({ at, this->sequence++, [this, index] { this->onArrival(index); } });
        }
    }

    PolicyResults run()
    {
        const TimePoint end = this->origin + policy_model::fromSeconds(policy_model::runSeconds(this->options));
        if (this->options.mode != PolicyMode::Central)
            this->scheduleReports(end);
        if (this->options.process == ArrivalProcess::Rolling)
            this->scheduleReplacements();
        const TimePoint last = end + std::chrono::seconds(30);
        while (!this->events.empty() && this->events.top().at <= last) {
            const Event event = this->events.top();
            this->events.pop();
            this->clock.set(event.at);
            event.run();
        }
        return this->computeResults();
    }

private:
    struct Event {
        TimePoint at;
        uint64_t sequence = 0;
        std::function<void()> run;
        bool operator<(const Event& other) const
        {
            return std::tie(this->at, this->sequence) > std::tie(other.at, other.sequence);
        }
    };
    struct Request {
        TimePoint at;
        Duration work;
        unsigned entry = 0;
        int chosenHost = -1; // Host that the entry chose, or -1.
        bool started = false;
        bool done = false;
        bool refused = false;
        bool expired = false;
        unsigned attempts = 0;
        unsigned opens = 0;
        Duration wait { 0 };
        Duration refusalLatency { 0 };
        std::set<unsigned> queuedHosts {}; // Hosts at which the request waits.
        bool queuedWithoutAsking = false; // Queued because the pool was saturated.
        int primary = -1; // Host whose regular queue it is in, or -1; it waits as a backup at the others.
        // Sequential mode: queue lengths of the hosts that declined the request and at which it has not queued yet.
        std::map<unsigned, unsigned> declinedQueueLengths {};
    };
    struct IdleInterval {
        TimePoint from;
        TimePoint to;
    };
    struct Execution {
        size_t request = 0;
        unsigned host = 0;
        TimePoint from;
        TimePoint to;
        bool useful = false;
    };
    struct Host {
        std::unique_ptr<Admission> admission;
        std::string domain;
        TimePoint joined;
        bool isCold = false;
        bool isDraining = false;
        unsigned running = 0;
        std::deque<size_t> fifo; // Used by the naive modes.
        std::deque<IdleInterval> idleIntervals; // Intervals in which a slot was idle.
        std::optional<TimePoint> idleSince;
        std::optional<TimePoint> timer;
    };
    struct Entry {
        std::unique_ptr<Placement> placement;
        std::string domain;
        std::vector<Load> reports; // Used by the naive modes.
    };

    void scheduleAfter(Duration delay, std::function<void()> run)
    {
        this->events.push({ this->clock.now() + delay, this->sequence++, std::move(run) });
    }

    Duration delayTo(const Request& request, unsigned host) const
    {
        const bool isLocal = this->entries[request.entry].domain == this->hosts[host].domain;
        return isLocal ? policy_model::localDelay : this->options.pool.domainDelay;
    }

    bool usesAdmission() const
    {
        return this->options.mode == PolicyMode::Policy || this->options.mode == PolicyMode::Sequential;
    }

    static FlowId flowOf(size_t index) { return { 1, index }; }
    static UpstreamId upstreamOf(unsigned host) { return { host + 1 }; }
    static unsigned hostOf(UpstreamId upstream) { return static_cast<unsigned>(upstream.value - 1); }

    std::unique_ptr<Admission> newAdmission(bool joins, unsigned host)
    {
        AdmissionOptions admission;
        admission.slots = this->options.pool.slots;
        admission.queueLimit = this->options.tuning.queueLimit;
        admission.reserveAhead = this->options.tuning.reserveAhead;
        admission.reserveAheadMinQueue = this->options.tuning.reserveAheadMinQueue;
        admission.backupOvertakeMargin = this->options.tuning.backupOvertakeMargin;
        admission.backupSalt = this->options.tuning.backupSalt ? host + 1 : 0;
        admission.deadlineOrder = this->options.tuning.deadlineOrder;
        admission.stragglerAfter = this->options.tuning.stragglerAfter;
        if (joins && this->options.tuning.ramp)
            admission.rampDuration = policy_model::rampDuration;
        return std::make_unique<Admission>(admission, this->clock);
    }

    void buildHosts()
    {
        for (unsigned i = 0; i < this->options.pool.hosts; ++i) {
            Host host;
            host.domain = std::to_string(i % 3);
            host.admission = this->newAdmission(false, i);
            host.idleSince = this->origin;
            this->hosts.push_back(std::move(host));
        }
    }

    void buildEntries()
    {
        for (unsigned i = 0; i < this->options.entries; ++i) {
            Entry entry;
            entry.domain = std::to_string(i % 3);
            entry.reports.resize(this->options.pool.hosts);
            PlacementOptions placement;
            placement.failureDomain = entry.domain;
            placement.maxCandidates = this->options.tuning.candidates;
            placement.maxWaitUpstreams = this->options.tuning.maxWaitHosts;
            placement.remotePenalty = this->options.tuning.remotePenalty;
            placement.random = [this] { return this->random(); };
            entry.placement = std::make_unique<Placement>(placement, this->clock);
            this->entries.push_back(std::move(entry));
        }
        this->publishPool();
    }

    void publishPool()
    {
        for (Entry& entry : this->entries) {
            std::vector<PlacementUpstream> pool;
            for (unsigned i = 0; i < this->hosts.size(); ++i)
                pool.push_back(
                    { upstreamOf(i), this->hosts[i].domain, this->options.pool.slots, this->hosts[i].isDraining });
            entry.placement->setPool(service, pool);
        }
    }

    void scheduleReports(TimePoint end)
    {
        for (TimePoint at = this->origin; at < end; at += policy_model::reportInterval) {
            this->events.push({ at, this->sequence++, [this] {
                                   for (unsigned i = 0; i < this->hosts.size(); ++i)
                                       this->report(i);
                               } });
        }
    }

    void report(unsigned host)
    {
        const Load load = this->loadOf(host);
        this->scheduleAfter(this->options.pool.domainDelay, [this, host, load] {
            for (Entry& entry : this->entries) {
                entry.reports[host] = load;
                if (this->options.mode != PolicyMode::Sequential) // Which learns loads only from replies.
                    entry.placement->onLoad(upstreamOf(host), load);
                entry.placement->onTick();
            }
        });
    }

    Load loadOf(unsigned index) const
    {
        const Host& host = this->hosts[index];
        if (this->usesAdmission())
            return host.admission->load();
        return { static_cast<uint16_t>(host.running), this->options.pool.slots, static_cast<uint16_t>(host.fifo.size()),
            0 };
    }

    void scheduleReplacements()
    {
        for (unsigned i = 0; i < this->hosts.size(); ++i) {
            const TimePoint at = this->origin + policy_model::fromSeconds((i + 0.5) * policy_model::replaceInterval);
            this->events.push({ at, this->sequence++, [this, i] { this->drain(i); } });
            this->events.push({ at + policy_model::fromSeconds(policy_model::replaceTime), this->sequence++,
                [this, i] { this->replace(i); } });
        }
    }

    void drain(unsigned index)
    {
        this->hosts[index].isDraining = true;
        this->hosts[index].admission->setDraining(true);
        this->scheduleAfter(policy_model::reportInterval, [this] { this->publishPool(); });
        this->dispatch(index);
    }

    void replace(unsigned index)
    {
        Host& host = this->hosts[index];
        if (host.running > 0) { // A planned stop waits for the work in progress.
            this->scheduleAfter(Milliseconds(100), [this, index] { this->replace(index); });
            return;
        }
        host.isDraining = false;
        host.isCold = true;
        host.joined = this->clock.now();
        host.admission = this->newAdmission(true, index);
        host.timer.reset();
        this->scheduleAfter(
            policy_model::fromSeconds(policy_model::coldTime), [this, index] { this->hosts[index].isCold = false; });
        this->scheduleAfter(policy_model::reportInterval, [this] { this->publishPool(); });
        this->dispatch(index);
    }

    // Number of slots that a host may use now. Computes the ramp independently of Admission, to check it.
    unsigned allowedSlots(const Host& host) const
    {
        if (host.isDraining)
            return 0;
        const double slots = this->options.pool.slots;
        const double age = std::chrono::duration<double>(this->clock.now() - host.joined).count();
        const double ramp = std::chrono::duration<double>(policy_model::rampDuration).count();
        const bool isJoining = host.joined != TimePoint() && age < ramp;
        return isJoining ? static_cast<unsigned>(1 + age / ramp * (slots - 1) + 1e-6) : static_cast<unsigned>(slots);
    }

    void updateIdleIntervals(Host& host)
    {
        const bool hasIdle = host.running < this->allowedSlots(host);
        if (hasIdle && !host.idleSince)
            host.idleSince = this->clock.now();
        if (!hasIdle && host.idleSince) {
            host.idleIntervals.push_back({ *host.idleSince, this->clock.now() });
            host.idleSince.reset();
        }
        while (
            !host.idleIntervals.empty() && host.idleIntervals.front().to + std::chrono::seconds(15) < this->clock.now())
            host.idleIntervals.pop_front();
    }

    void recordIdleDuringWait(const Request& request)
    {
        const TimePoint now = this->clock.now();
        for (const Host& host : this->hosts) {
            if (host.idleSince)
                this->longestIdle = std::max(this->longestIdle, now - std::max(*host.idleSince, request.at));
            for (auto idle = host.idleIntervals.rbegin(); idle != host.idleIntervals.rend() && idle->to > request.at;
                 ++idle)
                this->longestIdle = std::max(this->longestIdle, idle->to - std::max(idle->from, request.at));
        }
    }

    void beginWork(size_t index, unsigned hostIndex)
    {
        Request& request = this->requests[index];
        Host& host = this->hosts[hostIndex];
        if (!request.started) {
            request.started = true;
            request.wait = this->clock.now() - request.at;
            this->recordIdleDuringWait(request);
        }
        ++host.running;
        const unsigned allowed = this->allowedSlots(host);
        if (!host.isDraining && host.running > allowed)
            this->maxRampExcess = std::max<double>(this->maxRampExcess, host.running - allowed);
        this->updateIdleIntervals(host);
        const Duration work = host.isCold
            ? policy_model::fromSeconds(policy_model::coldFactor * policy_model::toMs(request.work) / 1000)
            : request.work;
        const size_t executionIndex = this->executions.size();
        this->executions.push_back({ index, hostIndex, this->clock.now(), this->clock.now() + work });
        this->scheduleAfter(work, [this, executionIndex] { this->endWork(executionIndex); });
    }

    void endWork(size_t runIndex)
    {
        Execution& execution = this->executions[runIndex];
        Request& request = this->requests[execution.request];
        Host& host = this->hosts[execution.host];
        --host.running;
        const bool inTime = this->clock.now() <= request.at + policy_model::callerDeadline + request.work;
        execution.useful = !request.done && inTime;
        request.done = request.done || inTime;
        if (this->usesAdmission()) {
            host.admission->release(flowOf(execution.request));
            this->reply(execution.request, execution.host, [this, index = execution.request, h = execution.host] {
                this->entryOf(index).onFlowEnded(upstreamOf(h));
            });
        }
        this->updateIdleIntervals(host);
        this->dispatch(execution.host);
    }

    void onArrival(size_t index)
    {
        if (this->usesAdmission())
            this->place(index);
        else if (this->options.mode == PolicyMode::Central)
            this->onArrivalCentral(index);
        else
            this->sendNaive(index);
    }

    void dispatch(unsigned host)
    {
        if (this->usesAdmission())
            this->dispatchAdmission(host);
        else if (this->options.mode == PolicyMode::Central)
            this->dispatchCentral();
        else
            this->dispatchNaive(host);
        this->updateIdleIntervals(this->hosts[host]);
    }

    //-----------------------------------------------------------------------------
    // [SECTION] Naive modes and the central queue
    //-----------------------------------------------------------------------------

    void onArrivalCentral(size_t index)
    {
        Request& request = this->requests[index];
        request.attempts = 1;
        const size_t limit = static_cast<size_t>(this->options.tuning.queueLimit) * this->hosts.size();
        if (this->centralQueue.size() >= limit) {
            request.refused = true;
            return;
        }
        this->centralQueue.push_back(index);
        this->dispatchCentral();
    }

    void dispatchCentral()
    {
        while (!this->centralQueue.empty()) {
            int best = -1;
            for (unsigned i = 0; i < this->hosts.size(); ++i) {
                const Host& host = this->hosts[i];
                const bool isLess = best < 0 || host.running < this->hosts[static_cast<unsigned>(best)].running;
                if (host.running < this->allowedSlots(host) && isLess)
                    best = static_cast<int>(i);
            }
            if (best < 0)
                return;
            const size_t index = this->centralQueue.front();
            this->centralQueue.pop_front();
            this->beginWork(index, static_cast<unsigned>(best));
        }
    }

    void sendNaive(size_t index)
    {
        Request& request = this->requests[index];
        if (request.done || request.attempts >= policy_model::naiveMaxAttempts)
            return;
        ++request.attempts;
        ++request.opens;
        unsigned host = static_cast<unsigned>(this->random() % this->hosts.size());
        if (this->options.mode == PolicyMode::TwoChoices) {
            const unsigned other = static_cast<unsigned>(this->random() % this->hosts.size());
            const std::vector<Load>& reports = this->entries[request.entry].reports;
            const auto busy = [&](unsigned i) { return reports[i].busySlots + reports[i].queueLength; };
            host = busy(other) < busy(host) ? other : host;
        }
        this->scheduleAfter(this->delayTo(request, host), [this, index, host] {
            if (this->hosts[host].isDraining) {
                this->scheduleAfter(
                    this->delayTo(this->requests[index], host), [this, index] { this->sendNaive(index); });
                return;
            }
            this->hosts[host].fifo.push_back(index);
            this->dispatch(host);
        });
        this->scheduleAfter(policy_model::naiveTimeout + request.work, [this, index] { this->sendNaive(index); });
    }

    void dispatchNaive(unsigned index)
    {
        Host& host = this->hosts[index];
        while (!host.fifo.empty() && host.running < this->options.pool.slots) {
            const size_t next = host.fifo.front();
            host.fifo.pop_front();
            this->beginWork(next, index);
        }
    }

    //-----------------------------------------------------------------------------
    // [SECTION] The real policy
    //-----------------------------------------------------------------------------

    Placement& entryOf(size_t index) { return *this->entries[this->requests[index].entry].placement; }

    // Sends a reply with the host's load to the entry. If a host is chosen already, the entry applies the load after
    // handling the reply, otherwise before.
    void reply(size_t index, unsigned host, const std::function<void()>& handle)
    {
        const Load load = this->hosts[host].admission->load();
        this->scheduleAfter(this->delayTo(this->requests[index], host), [this, index, host, load, handle] {
            this->entryOf(index).onReply(upstreamOf(host));
            const bool isCounted = this->requests[index].chosenHost < 0;
            if (isCounted)
                this->entryOf(index).onLoad(upstreamOf(host), load);
            handle();
            if (!isCounted)
                this->entryOf(index).onLoad(upstreamOf(host), load);
        });
    }

    void place(size_t index)
    {
        ++this->requests[index].attempts;
        this->entryOf(index).retryBudget(service).onFirstAttempt();
        this->placeAgain(index);
    }

    void placeAgain(size_t index)
    {
        const PlacementPlan plan = this->entryOf(index).plan(service);
        if (plan.saturated && this->options.tuning.queueAtOnceWhenSaturated)
            this->enqueue(index, true);
        else
            this->ask(index, plan.candidates, 0);
    }

    AdmissionRequest makeAdmissionRequest(size_t index, bool mayQueue, bool backup) const
    {
        const Request& request = this->requests[index];
        const Duration left = request.at + policy_model::callerDeadline - this->clock.now();
        const Milliseconds deadline = std::max(Milliseconds(1), std::chrono::duration_cast<Milliseconds>(left));
        return { flowOf(index), TrafficClass::Request, mayQueue, deadline, backup };
    }

    void ask(size_t index, const std::vector<UpstreamId>& candidates, size_t next)
    {
        if (this->requests[index].chosenHost >= 0 || this->requests[index].refused)
            return;
        if (next >= candidates.size()) {
            this->enqueue(index, false);
            return;
        }
        ++this->requests[index].opens;
        const unsigned host = hostOf(candidates[next]);
        this->scheduleAfter(this->delayTo(this->requests[index], host), [this, index, candidates, next, host] {
            const AdmissionResult admissionResult = this->hosts[host].admission->request(
                this->makeAdmissionRequest(index, false, this->options.tuning.keepAskedAsBackup));
            if (admissionResult.decision == AdmissionDecision::Queued)
                this->requests[index].queuedHosts.insert(host);
            const bool isGranted = admissionResult.decision == AdmissionDecision::Granted;
            const bool isDraining = admissionResult.reason == Reason::Draining;
            const unsigned queueLength = this->hosts[host].admission->load().queueLength;
            this->reply(index, host, [this, index, candidates, next, host, isGranted, isDraining, queueLength] {
                if (isDraining && this->options.mode == PolicyMode::Policy)
                    this->entryOf(index).onDraining(upstreamOf(host));
                if (!isGranted && !isDraining)
                    this->requests[index].declinedQueueLengths[host] = queueLength;
                if (isGranted)
                    this->onOpened(index, host);
                else
                    this->ask(index, candidates, next + 1);
            });
        });
    }

    // Queues at the host with the shortest queue among those that declined the request.
    void queueAtShortest(size_t index)
    {
        Request& request = this->requests[index];
        const auto shortest = std::min_element(request.declinedQueueLengths.begin(), request.declinedQueueLengths.end(),
            [](const auto& a, const auto& b) { return a.second < b.second; });
        if (shortest == request.declinedQueueLengths.end()) {
            this->refuse(index);
            return;
        }
        const unsigned host = shortest->first;
        request.declinedQueueLengths.erase(shortest);
        request.primary = static_cast<int>(host);
        this->queueAtHost(index, host, false);
    }

    void enqueue(size_t index, bool withoutAsking)
    {
        if (this->options.mode == PolicyMode::Sequential) {
            this->queueAtShortest(index);
            return;
        }
        const std::vector<UpstreamId> waitUpstreams = this->entryOf(index).plan(service).waitUpstreams;
        if (waitUpstreams.empty()) {
            this->refuse(index);
            return;
        }
        this->requests[index].queuedWithoutAsking = withoutAsking;
        this->requests[index].primary = static_cast<int>(hostOf(waitUpstreams.front()));
        this->queueAtHost(index, hostOf(waitUpstreams.front()), false);
        if (!this->options.tuning.backups)
            return;
        this->scheduleAfter(
            withoutAsking ? Duration(this->options.tuning.backupDelay) : Duration(0), [this, index, waitUpstreams] {
                const Request& request = this->requests[index];
                for (size_t i = 1; i < waitUpstreams.size() && request.chosenHost < 0 && !request.refused; ++i) {
                    if (!request.queuedHosts.contains(hostOf(waitUpstreams[i])))
                        this->queueAtHost(index, hostOf(waitUpstreams[i]), true);
                }
            });
    }

    void queueAtHost(size_t index, unsigned host, bool backup)
    {
        ++this->requests[index].opens;
        this->requests[index].queuedHosts.insert(host);
        this->scheduleAfter(this->delayTo(this->requests[index], host), [this, index, host, backup] {
            const AdmissionResult admissionResult
                = this->hosts[host].admission->request(this->makeAdmissionRequest(index, !backup, backup));
            if (admissionResult.decision == AdmissionDecision::Granted)
                this->reply(index, host, [this, index, host] { this->onOpened(index, host); });
            else if (admissionResult.decision != AdmissionDecision::Queued)
                this->reply(index, host,
                    [this, index, host, reason = admissionResult.reason] { this->onRefused(index, host, reason); });
            this->dispatch(host);
        });
    }

    void onOpened(size_t index, unsigned host)
    {
        Request& request = this->requests[index];
        request.queuedHosts.erase(host);
        if (request.chosenHost == static_cast<int>(host))
            return; // A second Open to the same host returns the same reservation.
        if (request.chosenHost >= 0 || request.refused) {
            this->cancelAt(index, host);
            return;
        }
        request.chosenHost = static_cast<int>(host);
        for (const unsigned other : std::set<unsigned>(request.queuedHosts))
            this->cancelAt(index, other);
        this->entryOf(index).onFlowStarted(upstreamOf(host));
        this->scheduleAfter(this->delayTo(request, host), [this, index, host] {
            if (this->hosts[host].admission->start(flowOf(index)))
                this->beginWork(index, host);
            this->dispatch(host);
        });
    }

    void cancelAt(size_t index, unsigned host)
    {
        this->requests[index].queuedHosts.erase(host);
        this->scheduleAfter(this->delayTo(this->requests[index], host), [this, index, host] {
            this->hosts[host].admission->release(flowOf(index));
            this->dispatch(host);
        });
    }

    void onRefused(size_t index, unsigned host, Reason reason)
    {
        if (reason == Reason::Draining && this->options.mode == PolicyMode::Policy)
            this->entryOf(index).onDraining(upstreamOf(host));
        Request& request = this->requests[index];
        request.queuedHosts.erase(host);
        const bool isPrimary = request.primary == static_cast<int>(host);
        if (request.chosenHost >= 0 || request.refused)
            return;
        if (!isPrimary) {
            const bool isQueuedNowhere = request.primary < 0 && request.queuedHosts.empty();
            if (isQueuedNowhere)
                this->refuseWithReason(index, reason);
            return;
        }
        request.primary = -1;
        if (this->options.mode == PolicyMode::Sequential) {
            const bool mayQueueElsewhere = this->entryOf(index).retryBudget(service).tryRetry();
            if (mayQueueElsewhere)
                this->queueAtShortest(index);
            else
                this->refuseWithReason(index, reason);
            return;
        }
        const bool mayRetry = reason == Reason::Draining && this->entryOf(index).retryBudget(service).tryRetry();
        if (mayRetry) {
            ++request.attempts;
            this->placeAgain(index);
            return;
        }
        // Unless the pool is saturated, another host at which the request waits as a backup is likely to take it soon.
        // After the round trips of asking first, a refusal would come too late to be useful.
        const bool mayWait = reason == Reason::Draining || !request.queuedWithoutAsking
            || !this->entryOf(index).plan(service).saturated;
        if (reason != Reason::DeadlineExceeded && mayWait && !request.queuedHosts.empty())
            return;
        this->refuseWithReason(index, reason);
    }

    void refuseWithReason(size_t index, Reason reason)
    {
        this->requests[index].expired = reason == Reason::DeadlineExceeded;
        this->refuse(index);
    }

    void refuse(size_t index)
    {
        Request& request = this->requests[index];
        request.refused = true;
        this->recordIdleDuringWait(request);
        request.refusalLatency = this->clock.now() - request.at;
        for (const unsigned other : std::set<unsigned>(request.queuedHosts))
            this->cancelAt(index, other);
    }

    void dispatchAdmission(unsigned index)
    {
        Host& host = this->hosts[index];
        for (const FlowId flow : host.admission->startReadyFlows())
            this->beginWork(flow.low, index);
        for (const AdmissionChange& change : host.admission->processQueue()) {
            const size_t request = change.flow.low;
            if (change.decision == AdmissionDecision::Granted)
                this->reply(request, index, [this, request, index] { this->onOpened(request, index); });
            else
                this->reply(request, index,
                    [this, request, index, reason = change.reason] { this->onRefused(request, index, reason); });
        }
        const std::optional<TimePoint> next = host.admission->nextTimer();
        if (next && (!host.timer || *next < *host.timer)) {
            host.timer = next;
            this->scheduleAfter(std::max(Duration(0), *next - this->clock.now()), [this, index, at = *next] {
                if (this->hosts[index].timer != at)
                    return;
                this->hosts[index].timer.reset();
                this->dispatch(index);
            });
        }
    }

    //-----------------------------------------------------------------------------
    // [SECTION] Results
    //-----------------------------------------------------------------------------

    static double percentile(std::vector<double>& values, double share)
    {
        if (values.empty())
            return 0;
        std::sort(values.begin(), values.end());
        const double rank = std::ceil(share * static_cast<double>(values.size()));
        return values[static_cast<size_t>(std::max(1.0, rank)) - 1];
    }

    double overlapSeconds(const Execution& execution, double from, double to) const
    {
        const double start = std::chrono::duration<double>(execution.from - this->origin).count();
        const double end = std::chrono::duration<double>(execution.to - this->origin).count();
        return std::max(0.0, std::min(end, to) - std::max(start, from));
    }

    double maxImbalance() const
    {
        double worst = 0;
        for (double from = 0; from + policy_model::imbalanceWindow <= policy_model::runSeconds(this->options);
             from += policy_model::imbalanceWindow) {
            std::vector<double> busy(this->hosts.size());
            double total = 0;
            for (const Execution& execution : this->executions) {
                const double seconds = this->overlapSeconds(execution, from, from + policy_model::imbalanceWindow);
                busy[execution.host] += seconds;
                total += seconds;
            }
            const double mean = total / static_cast<double>(busy.size());
            if (mean > 0)
                worst = std::max(worst, *std::max_element(busy.begin(), busy.end()) / mean);
        }
        return worst;
    }

    double peakGoodput() const
    {
        double useful = 0;
        for (const Execution& execution : this->executions) {
            if (execution.useful)
                useful += this->overlapSeconds(execution, policy_model::peakStart, policy_model::peakEnd);
        }
        const double slots = this->options.pool.slots * static_cast<double>(this->hosts.size());
        return useful / (slots * (policy_model::peakEnd - policy_model::peakStart));
    }

    PolicyResults computeResults() const
    {
        PolicyResults result;
        std::vector<double> waits;
        std::vector<double> refusals;
        double attempts = 0;
        double opens = 0;
        for (const Request& request : this->requests) {
            attempts += request.attempts;
            opens += request.opens;
            result.served += request.done ? 1 : 0;
            result.expired += request.expired ? 1 : 0;
            result.late += request.started && !request.done ? 1 : 0;
            result.lost += !request.started && !request.refused ? 1 : 0;
            if (request.started)
                waits.push_back(policy_model::toMs(request.wait));
            if (request.refused && !request.expired)
                refusals.push_back(policy_model::toMs(request.refusalLatency));
        }
        result.requests = this->requests.size();
        result.refused = refusals.size();
        result.waitP50 = percentile(waits, 0.5);
        result.waitP99 = percentile(waits, 0.99);
        result.waitP999 = percentile(waits, 0.999);
        result.refusalP99 = percentile(refusals, 0.99);
        result.imbalance = this->maxImbalance();
        result.peakGoodput = this->options.process == ArrivalProcess::Swing ? this->peakGoodput() : 0;
        result.attempts = attempts / static_cast<double>(this->requests.size());
        result.opens = opens / static_cast<double>(this->requests.size());
        result.longestIdle = policy_model::toMs(this->longestIdle);
        result.maxRampExcess = this->maxRampExcess;
        return result;
    }

    static constexpr ServiceId service { 1 };

    PolicyModelOptions options;
    ManualClock clock;
    std::mt19937_64 random;
    TimePoint origin;
    uint64_t sequence = 0;
    std::priority_queue<Event> events;
    std::vector<Request> requests;
    std::vector<Host> hosts;
    std::vector<Entry> entries;
    std::vector<Execution> executions;
    std::deque<size_t> centralQueue;
    Duration longestIdle { 0 };
    double maxRampExcess = 0;
};

} // namespace wasabicroft
