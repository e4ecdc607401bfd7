// Simulated network with agents, upstreams and callers that runs the flow state machines under injected faults.
//
// Used by FlowModelTest.cpp. All randomness comes from the seed, so a failing case can be reproduced.
#pragma once

#include "wasabicroft/Flow.h"
#include "wasabicroft/Log.h"

#include <algorithm>
#include <memory>
#include <random>

namespace wasabicroft {

enum class StepKind : uint8_t {
    Advance,
    StartFlow,
    PauseHost,
    PauseCaller,
    RestartHost,
    LoseFrames, // The amount is a percentage.
    ResetLinks,
    Cancel,
    KillCaller,
    Drain,
    Undrain,
    RefuseConnects,
    AcceptConnects,
    ResetUpstreams,
};
inline constexpr int stepKindCount = 14;

struct Step {
    StepKind kind = StepKind::Advance;
    uint8_t target = 0;
    uint16_t amount = 0; // Milliseconds or percent, depending on the kind.
};

struct FlowSimulationOptions {
    bool datagrams = true;
    bool naive = false; // No reservations: an unanswered request is sent to the next host as a new one.
    FlowAblations ablations;
};

struct Findings {
    size_t flows = 0;
    size_t completed = 0;
    size_t notRun = 0;
    size_t boundAsBackup = 0; // Flows whose last owner is an upstream at which they waited as a backup.
    size_t held = 0; // Frames with Data that waited at an agent for a slot.
    size_t handedOverTwice = 0; // Flows whose bytes reached more than one upstream connection.
    size_t falseNotRun = 0; // Flows that ended as not run although an upstream was connected.
    size_t wrongRequest = 0; // An upstream saw bytes that are not the start of its flow's request.
    size_t wrongAnswer = 0; // A caller saw bytes that are not the start of its flow's answer, or not all of it.
    size_t unbounded = 0; // Checks at which an agent held more flows or queued requests than its limits allow.
    size_t notEnded = 0; // Flows, or state of agents, left after the faults stopped.
    uint64_t violations = 0; // Violations reported by the state machines.

    size_t total() const
    {
        return this->handedOverTwice + this->falseNotRun + this->wrongRequest + this->wrongAnswer + this->unbounded
            + this->notEnded + this->violations;
    }

    void add(const Findings& other)
    {
        this->flows += other.flows;
        this->completed += other.completed;
        this->notRun += other.notRun;
        this->boundAsBackup += other.boundAsBackup;
        this->held += other.held;
        this->handedOverTwice += other.handedOverTwice;
        this->falseNotRun += other.falseNotRun;
        this->wrongRequest += other.wrongRequest;
        this->wrongAnswer += other.wrongAnswer;
        this->unbounded += other.unbounded;
        this->notEnded += other.notEnded;
        this->violations += other.violations;
    }
};

inline std::ostream& operator<<(std::ostream& out, const Findings& findings)
{
    return out << "flows " << findings.flows << ", completed " << findings.completed << ", not run " << findings.notRun
               << ", bound as backup " << findings.boundAsBackup << ", held " << findings.held << ", handed over twice "
               << findings.handedOverTwice << ", false not-run " << findings.falseNotRun << ", wrong request "
               << findings.wrongRequest << ", wrong answer " << findings.wrongAnswer << ", unbounded "
               << findings.unbounded << ", not ended " << findings.notEnded << ", violations " << findings.violations;
}

class FlowSimulation {
public:
    FlowSimulation(FlowSimulationOptions, uint64_t seed);

    Findings run(const std::vector<Step>& steps);

private:
    static constexpr size_t hostCount = 3;
    static constexpr size_t maxCallers = 12;

    struct Connection {
        std::string received;
        std::string answer;
        size_t answered = 0;
        bool finished = false;
        bool open = true;
        bool connected = false;
    };
    struct Host {
        UpstreamId id;
        uint64_t incarnation = 0;
        std::unique_ptr<Admission> admission;
        std::unique_ptr<FlowOwner> owner;
        std::map<FlowId, Connection> connections;
        TimePoint pausedUntil;
        bool refusesConnects = false;
    };
    struct Caller {
        std::unique_ptr<FlowInitiator> initiator;
        std::string request;
        size_t written = 0;
        std::string delivered;
        size_t connects = 0; // Upstream connections that were set up.
        size_t handOvers = 0; // Upstream connections that received bytes.
        bool wrongRequest = false;
        bool answerEnded = false;
        bool killed = false;
        TimePoint pausedUntil;
        std::array<uint64_t, hostCount> links {};
        std::array<TimePoint, hostCount> lastToHost;
        std::array<TimePoint, hostCount> lastToCaller;
        size_t naiveAttempts = 0;
    };
    using Action = std::function<void()>;

    TimePoint now() const { return this->clock.now(); }
    int draw(int low, int high) { return std::uniform_int_distribution<int>(low, high)(this->random); }
    bool chance(int percent) { return this->draw(0, 99) < percent; }
    void scheduleAt(TimePoint when, Action action) { this->events.emplace(when, std::move(action)); }
    void scheduleOnHost(size_t host, Milliseconds delay, Action action);
    void scheduleOnCaller(size_t caller, TimePoint when, Action action);
    Milliseconds networkDelay();
    static bool speaksFirst(FlowId); // The upstream sends a greeting, for which the caller waits.
    static std::string greetingFor(FlowId);
    static std::string answerFor(FlowId, std::string_view request);

    void apply(const Step&);
    void startHost(size_t host);
    void startFlow();
    void resetLink(size_t caller, size_t host);
    void advance(Milliseconds);
    void runTimers();
    std::optional<TimePoint> nextTimer() const;
    size_t hostIndex(UpstreamId) const;
    PlacementPlan planFor(bool saturated) const;
    bool waitsForSlot(size_t host, const Frame&);
    uint16_t reserveAhead() const { return this->seed % 2 == 0 ? 1 : 0; }

    void handle(size_t caller, const InitiatorCommands& commands);
    void continueWriting(size_t caller);
    void sendToHost(size_t caller, size_t host, const Frame&);
    void handle(size_t host, const OwnerCommands& commands);
    void sendToCaller(size_t host, const SendToInitiator&);
    void connect(size_t host, FlowId);
    void sendAnswer(size_t host, FlowId);
    void recordUpstreamBytes(FlowId, Connection&, std::string_view bytes);
    void checkBounds();
    void runWithoutFaults();
    Findings collect();

    void naiveSend(size_t caller);
    void naiveExecute(size_t caller, size_t host);

    FlowSimulationOptions options;
    uint64_t seed;
    std::mt19937_64 random;
    ManualClock clock;
    std::multimap<TimePoint, Action> events;
    std::array<Host, hostCount> hosts;
    std::vector<std::unique_ptr<Caller>> callers;
    int lossPercent = 0;
    bool faultsEnabled = true;
    uint64_t lastLink = 100;
    Findings findings;
    uint64_t violationsBefore;
};

// Draws a schedule from a seed, for runs over many fixed seeds.
std::vector<Step> randomSteps(uint64_t seed, size_t count);

} // namespace wasabicroft
