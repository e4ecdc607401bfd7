// Tests of single cases of FlowInitiator and FlowOwner, connected to each other without a network.
#include "wasabicroft/Flow.h"
#include "wasabicroft/Log.h"

#include <gtest/gtest.h>

namespace wasabicroft {
namespace {

    const ServiceId registrations = serviceIdOf("registrations");
    const ServiceId labels = serviceIdOf("labels");
    const UpstreamId first = upstreamIdOf("host-1");
    const UpstreamId second = upstreamIdOf("host-2");
    const FlowId flowId { 7, 9 };

    template <typename Command, typename Commands> std::vector<Command> ofType(const Commands& commands)
    {
        std::vector<Command> found;
        for (const auto& command : commands)
            if (const Command* match = std::get_if<Command>(&command))
                found.push_back(*match);
        return found;
    }

    OwnerOptions ownerOptions(UpstreamId upstream, uint64_t incarnation)
    {
        OwnerOptions options;
        options.upstream = upstream;
        options.incarnation = incarnation;
        options.services = { registrations };
        return options;
    }

    struct Agent {
        Agent(UpstreamId upstream, uint64_t incarnation, const Clock& clock, AdmissionOptions limits = {})
            : admission(limits, clock)
            , owner(ownerOptions(upstream, incarnation), admission, clock)
        {
        }

        OwnerCommands handleFrame(const Frame& frame)
        {
            OwnerCommands out;
            this->owner.onFrame(frame, this->route, out);
            return out;
        }

        ReplyRoute route { 1, {} };
        Admission admission;
        FlowOwner owner;
    };

    class FlowFixture : public testing::Test {
    protected:
        FlowFixture()
            : violationsBefore(violationCount())
        {
            this->options.service = registrations;
        }

        ~FlowFixture() override { EXPECT_EQ(violationCount(), this->violationsBefore); }

        FlowInitiator makeInitiator() { return FlowInitiator(flowId, this->options, this->clock); }

        // Passes frames both ways until neither side sends any more; collects the other commands.
        void exchange(FlowInitiator& initiator, InitiatorCommands commands, const std::vector<Agent*>& agents)
        {
            for (int round = 0; round < 100 && !commands.empty(); ++round) {
                InitiatorCommands replies;
                for (const InitiatorCommand& command : commands) {
                    const SendToOwner* send = std::get_if<SendToOwner>(&command);
                    if (!send) {
                        this->callerEvents.push_back(command);
                        continue;
                    }
                    for (Agent* agent : agents)
                        if (agent->owner.settings().upstream == send->owner)
                            this->deliverReplies(initiator, agent->handleFrame(send->frame), replies);
                }
                commands = std::move(replies);
            }
        }

        void deliverReplies(FlowInitiator& initiator, const OwnerCommands& commands, InitiatorCommands& replies)
        {
            for (const OwnerCommand& command : commands)
                if (const SendToInitiator* send = std::get_if<SendToInitiator>(&command))
                    initiator.onFrame(send->frame, replies);
                else
                    this->upstreamEvents.push_back(command);
        }

        void deliverAndExchange(FlowInitiator& initiator, Agent& agent, const OwnerCommands& commands)
        {
            InitiatorCommands replies;
            this->deliverReplies(initiator, commands, replies);
            this->exchange(initiator, replies, { &agent });
        }

        ManualClock clock;
        InitiatorOptions options;
        InitiatorCommands callerEvents;
        OwnerCommands upstreamEvents;
        uint64_t violationsBefore;
    };

    // Guards against an upstream that sends first and is never connected, and against a lost half-close.
    TEST_F(FlowFixture, UpstreamMaySpeakFirstAndBothHalvesClose)
    {
        Agent agent(first, 11, this->clock);
        FlowInitiator initiator = this->makeInitiator();
        InitiatorCommands out;
        initiator.start({ first }, out);
        this->exchange(initiator, std::move(out), { &agent });
        ASSERT_EQ(ofType<ConnectUpstream>(this->upstreamEvents).size(), 1U);

        OwnerCommands owned;
        agent.owner.onUpstreamConnected(flowId, owned);
        agent.owner.onUpstreamBytes(flowId, "hello", owned);
        this->deliverAndExchange(initiator, agent, owned);
        ASSERT_EQ(ofType<DeliverToCaller>(this->callerEvents).size(), 1U);
        EXPECT_EQ(ofType<DeliverToCaller>(this->callerEvents)[0].bytes, "hello");

        out.clear();
        EXPECT_EQ(initiator.write("register", out), 8U);
        initiator.finishWriting(out);
        this->exchange(initiator, std::move(out), { &agent });
        ASSERT_EQ(ofType<WriteUpstream>(this->upstreamEvents).size(), 1U);
        EXPECT_EQ(ofType<WriteUpstream>(this->upstreamEvents)[0].bytes, "register");
        EXPECT_EQ(ofType<FinishUpstream>(this->upstreamEvents).size(), 1U);
        EXPECT_TRUE(initiator.hasUnacknowledged());

        owned.clear();
        agent.owner.onUpstreamWritten(flowId, 8, owned);
        this->deliverAndExchange(initiator, agent, owned);
        EXPECT_FALSE(initiator.hasUnacknowledged());

        owned.clear();
        agent.owner.onUpstreamEnd(flowId, owned);
        this->deliverAndExchange(initiator, agent, owned);
        EXPECT_EQ(initiator.outcome(), FlowOutcome::Completed);
        EXPECT_EQ(agent.owner.openFlows(), 0U);
        EXPECT_EQ(agent.admission.load().busySlots, 0);
    }

    Frame frameFor(FrameKind kind, OwnerToken token, ServiceId service = registrations)
    {
        Frame frame;
        frame.kind = kind;
        frame.flow = flowId;
        frame.service = service;
        frame.token = token;
        return frame;
    }

    // Reserves the fixture's flow at the agent.
    OwnerToken reserve(Agent& agent)
    {
        const OwnerCommands out
            = agent.handleFrame(frameFor(FrameKind::Open, { agent.owner.settings().upstream, 0, 0 }));
        const std::vector<SendToInitiator> sent = ofType<SendToInitiator>(out);
        EXPECT_EQ(sent.at(0).frame.kind, FrameKind::Opened);
        return sent.at(0).frame.token;
    }

    Frame onlyReply(const OwnerCommands& out)
    {
        const std::vector<SendToInitiator> sent = ofType<SendToInitiator>(out);
        EXPECT_EQ(sent.size(), 1U);
        EXPECT_EQ(out.size(), 1U);
        return sent.at(0).frame;
    }

    // Guards R4 and R5: a frame with a token that this incarnation does not know is never answered as not run.
    TEST_F(FlowFixture, UnknownTokensAreAnsweredWithOutcomeUnknown)
    {
        Agent agent(first, 11, this->clock);
        const OwnerToken token = reserve(agent);
        for (const OwnerToken& wrong :
            { OwnerToken { first, 12, token.reservation }, OwnerToken { first, 11, token.reservation + 1 } })
            for (const FrameKind kind : { FrameKind::Data, FrameKind::Ping, FrameKind::Ack }) {
                const Frame reply = onlyReply(agent.handleFrame(frameFor(kind, wrong)));
                EXPECT_EQ(reply.kind, FrameKind::Refused);
                EXPECT_EQ(reply.reason, Reason::OutcomeUnknown);
            }
        this->clock.advance(Milliseconds(5001));
        OwnerCommands out;
        agent.owner.onTimer(out);
        EXPECT_EQ(agent.owner.reservations(), 0U);
        EXPECT_EQ(agent.admission.load().busySlots, 0);
        EXPECT_EQ(onlyReply(agent.handleFrame(frameFor(FrameKind::Data, token))).reason, Reason::OutcomeUnknown);
        EXPECT_EQ(onlyReply(agent.handleFrame(frameFor(FrameKind::Query, token))).reason, Reason::OutcomeUnknown);
    }

    // Guards R2: neither a reservation nor a byte reaches another service, also after a change of the configuration.
    TEST_F(FlowFixture, ServicesAreKeptApart)
    {
        Agent agent(first, 11, this->clock);
        EXPECT_EQ(onlyReply(agent.handleFrame(frameFor(FrameKind::Open, { first, 0, 0 }, labels))).reason,
            Reason::WrongService);
        EXPECT_EQ(onlyReply(agent.handleFrame(frameFor(FrameKind::Open, { second, 0, 0 }))).reason, Reason::WrongOwner);
        const OwnerToken token = reserve(agent);
        EXPECT_EQ(onlyReply(agent.handleFrame(frameFor(FrameKind::Data, token, labels))).reason, Reason::WrongService);
        OwnerCommands out;
        agent.owner.setServices({ labels }, out);
        const Frame closed = onlyReply(agent.handleFrame(frameFor(FrameKind::Data, token)));
        EXPECT_EQ(closed.kind, FrameKind::Closed);
        EXPECT_EQ(closed.reason, Reason::WrongService);
        EXPECT_FALSE(closed.has(frame_flags::handedOver));
    }

    // Guards R5: repeated and overlapping bytes reach the upstream once and in order.
    TEST_F(FlowFixture, RepeatedBytesAreWrittenOnce)
    {
        Agent agent(first, 11, this->clock);
        Frame data = frameFor(FrameKind::Data, reserve(agent));
        OwnerCommands out = agent.handleFrame(data);
        EXPECT_EQ(ofType<ConnectUpstream>(out).size(), 1U);
        EXPECT_TRUE(ofType<ConnectUpstream>(agent.handleFrame(data)).empty());
        agent.owner.onUpstreamConnected(flowId, out);
        std::string written;
        for (const auto& [offset, payload] : std::vector<std::pair<uint64_t, std::string>> {
                 { 4, "efgh" }, { 0, "abc" }, { 0, "abc" }, { 2, "cde" }, { 0, "abcdefgh" }, { 300000, "x" } }) {
            data.offset = offset;
            data.payload = payload;
            for (const WriteUpstream& write : ofType<WriteUpstream>(agent.handleFrame(data)))
                written += write.bytes;
        }
        EXPECT_EQ(written, "abcdefgh");
    }

    // Guards the only case in which a bound flow may move to another owner: the connection to the upstream failed.
    TEST_F(FlowFixture, FailedConnectMovesToTheNextCandidate)
    {
        Agent one(first, 11, this->clock);
        Agent two(second, 12, this->clock);
        FlowInitiator initiator = this->makeInitiator();
        InitiatorCommands out;
        initiator.start({ first, second }, out);
        initiator.write("register", out);
        this->exchange(initiator, std::move(out), { &one, &two });
        EXPECT_EQ(initiator.token().owner, first);
        OwnerCommands owned;
        one.owner.onUpstreamConnectFailed(flowId, owned);
        InitiatorCommands replies;
        this->deliverReplies(initiator, owned, replies);
        this->exchange(initiator, replies, { &one, &two });
        EXPECT_EQ(initiator.token().owner, second);
        EXPECT_EQ(one.admission.load().busySlots, 0);
        owned.clear();
        two.owner.onUpstreamConnectFailed(flowId, owned);
        this->deliverAndExchange(initiator, two, owned);
        EXPECT_EQ(initiator.outcome(), FlowOutcome::NotRun);
    }

    // Guards against an upstream that sends first and is never connected at the second candidate, because the first
    // candidate acknowledged the start of the flow before its connect failed.
    TEST_F(FlowFixture, FailedConnectStartsAnewWithoutBytes)
    {
        Agent one(first, 11, this->clock);
        Agent two(second, 12, this->clock);
        FlowInitiator initiator = this->makeInitiator();
        InitiatorCommands out;
        initiator.start({ first, second }, out);
        this->exchange(initiator, std::move(out), { &one, &two });
        OwnerCommands owned;
        one.owner.onUpstreamConnectFailed(flowId, owned);
        InitiatorCommands replies;
        this->deliverReplies(initiator, owned, replies);
        this->exchange(initiator, replies, { &one, &two });
        EXPECT_EQ(two.owner.openFlows(), 1U);
    }

    // Guards R5: a reset after the hand-over neither moves the flow nor claims that nothing ran.
    TEST_F(FlowFixture, ResetAfterHandOverEndsTheFlow)
    {
        Agent agent(first, 11, this->clock);
        FlowInitiator initiator = this->makeInitiator();
        InitiatorCommands out;
        initiator.start({ first, second }, out);
        initiator.write("register", out);
        this->exchange(initiator, std::move(out), { &agent });
        OwnerCommands owned;
        agent.owner.onUpstreamConnected(flowId, owned);
        agent.owner.onUpstreamReset(flowId, owned);
        this->deliverAndExchange(initiator, agent, owned);
        EXPECT_EQ(initiator.outcome(), FlowOutcome::UpstreamReset);
        EXPECT_EQ(initiator.replies()[1].reply, FrameKind::Open);
        const Frame again = onlyReply(agent.handleFrame(frameFor(FrameKind::Open, { first, 0, 0 })));
        EXPECT_EQ(again.reason, Reason::OutcomeUnknown);
    }

    // Guards against a slot that stays reserved when the reply of a slow candidate arrives late.
    TEST_F(FlowFixture, LateOpenedIsCancelled)
    {
        Agent one(first, 11, this->clock);
        Agent two(second, 12, this->clock);
        FlowInitiator initiator = this->makeInitiator();
        InitiatorCommands asked;
        initiator.start({ first, second }, asked);
        const OwnerCommands late = one.handleFrame(ofType<SendToOwner>(asked).at(0).frame);
        this->clock.advance(Milliseconds(301));
        InitiatorCommands out;
        initiator.onTimer(out);
        // The Cancel for the unanswered candidate is lost.
        this->exchange(initiator, std::move(out), { &two });
        EXPECT_EQ(initiator.token().owner, second);
        EXPECT_EQ(one.owner.reservations(), 1U);
        this->deliverAndExchange(initiator, one, late);
        EXPECT_EQ(initiator.token().owner, second);
        EXPECT_EQ(one.owner.reservations(), 0U);
        EXPECT_EQ(one.admission.load().busySlots, 0);
    }

    // Guards waiting: after a Pass from all, the flow queues at the shortest queue and gets the next free slot.
    TEST_F(FlowFixture, QueuesAfterPassFromAllAndIsGranted)
    {
        AdmissionOptions oneSlot;
        oneSlot.slots = 1;
        Agent one(first, 11, this->clock, oneSlot);
        Agent two(second, 12, this->clock, oneSlot);
        one.admission.request({ { 1, 1 }, TrafficClass::Request, false, Milliseconds(0) });
        one.admission.request({ { 1, 2 }, TrafficClass::Request, true, Milliseconds(0) });
        two.admission.request({ { 1, 3 }, TrafficClass::Request, false, Milliseconds(0) });
        FlowInitiator initiator = this->makeInitiator();
        InitiatorCommands out;
        initiator.start({ first, second }, out);
        this->exchange(initiator, std::move(out), { &one, &two });
        EXPECT_EQ(two.admission.load().queueLength, 1);
        EXPECT_TRUE(initiator.replies()[1].queued);
        two.admission.release({ 1, 3 });
        OwnerCommands owned;
        two.owner.onTimer(owned);
        this->deliverAndExchange(initiator, two, owned);
        EXPECT_EQ(initiator.phase(), InitiatorPhase::Bound);
        EXPECT_EQ(two.owner.openFlows(), 1U);
    }

    // Guards R4 and the retry budget: without budget the flow ends as not run after the first refusal.
    TEST_F(FlowFixture, EndsAsNotRunWithoutRetryBudget)
    {
        Agent one(first, 11, this->clock);
        Agent two(second, 12, this->clock);
        OwnerCommands ignored;
        one.owner.setServices({ labels }, ignored);
        this->options.mayRetry = [] { return false; };
        FlowInitiator initiator = this->makeInitiator();
        InitiatorCommands out;
        initiator.start({ first, second }, out);
        this->exchange(initiator, std::move(out), { &one, &two });
        EXPECT_EQ(initiator.outcome(), FlowOutcome::NotRun);
        EXPECT_EQ(ofType<FlowEnded>(this->callerEvents).at(0).reason, Reason::WrongService);
        EXPECT_EQ(two.owner.reservations(), 0U);
    }

    // Guards against a false refusal: asking the next candidate after a Pass, draining or not, is not a retry.
    TEST_F(FlowFixture, PassTakesNothingFromTheRetryBudget)
    {
        AdmissionOptions oneSlot;
        oneSlot.slots = 1;
        Agent one(first, 11, this->clock);
        Agent two(second, 12, this->clock, oneSlot);
        one.admission.setDraining(true);
        two.admission.request({ { 1, 1 }, TrafficClass::Request, false, Milliseconds(0) });
        int retries = 0;
        this->options.mayRetry = [&retries] {
            ++retries;
            return false;
        };
        FlowInitiator initiator = this->makeInitiator();
        InitiatorCommands out;
        initiator.start({ first, second }, out);
        this->exchange(initiator, std::move(out), { &one, &two });
        EXPECT_EQ(retries, 0);
        EXPECT_EQ(two.admission.load().queueLength, 1);
    }

    // Guards the wait at several upstreams: the first Opened wins, the other waits are released, and a second Opened
    // of the chosen owner does nothing.
    TEST_F(FlowFixture, TheFirstOpenedOfAllUpstreamsWins)
    {
        AdmissionOptions oneSlot;
        oneSlot.slots = 1;
        Agent one(first, 11, this->clock, oneSlot);
        Agent two(second, 12, this->clock, oneSlot);
        one.admission.request({ { 1, 1 }, TrafficClass::Request, false, Milliseconds(0) });
        two.admission.request({ { 1, 2 }, TrafficClass::Request, false, Milliseconds(0) });
        this->options.plan = [] { return PlacementPlan { { first, second }, { first, second }, false }; };
        FlowInitiator initiator = this->makeInitiator();
        InitiatorCommands out;
        initiator.start({ first, second }, out);
        this->exchange(initiator, std::move(out), { &one, &two });
        EXPECT_EQ(one.admission.load().queueLength, 1);
        ASSERT_EQ(initiator.replies().size(), 2U);
        EXPECT_TRUE(initiator.replies()[1].backup);
        two.admission.release({ 1, 2 });
        OwnerCommands granted;
        two.owner.onTimer(granted);
        InitiatorCommands bound;
        this->deliverReplies(initiator, granted, bound);
        this->exchange(initiator, bound, { &one, &two });
        EXPECT_EQ(initiator.token().owner, second);
        EXPECT_EQ(one.admission.load().queueLength, 0);
        EXPECT_EQ(two.owner.openFlows(), 1U);
        InitiatorCommands again;
        this->deliverReplies(initiator, granted, again);
        EXPECT_TRUE(again.empty());
    }

    // Guards against an endless wait and a false refusal: a flow at a saturated pool queues at once, waits elsewhere
    // after the delay, and ends as not run once no upstream queues it.
    TEST_F(FlowFixture, QueuesAtOnceAndWaitsElsewhereLater)
    {
        AdmissionOptions oneSlot;
        oneSlot.slots = 1;
        oneSlot.refuseEarly = false;
        Agent one(first, 11, this->clock, oneSlot);
        Agent two(second, 12, this->clock, oneSlot);
        one.admission.request({ { 1, 1 }, TrafficClass::Request, false, Milliseconds(0) });
        two.admission.request({ { 1, 2 }, TrafficClass::Request, false, Milliseconds(0) });
        this->options.plan = [] { return PlacementPlan { { first }, { first, second }, true }; };
        this->options.mayRetry = [] { return false; };
        FlowInitiator initiator = this->makeInitiator();
        InitiatorCommands out;
        initiator.start({ first }, out, true);
        EXPECT_EQ(ofType<SendToOwner>(out).size(), 1U);
        EXPECT_TRUE(ofType<SendToOwner>(out).at(0).frame.has(frame_flags::mayQueue));
        this->exchange(initiator, std::move(out), { &one, &two });
        this->clock.advance(Milliseconds(10));
        out.clear();
        initiator.onTimer(out);
        ASSERT_EQ(ofType<SendToOwner>(out).size(), 1U);
        EXPECT_EQ(ofType<SendToOwner>(out).at(0).owner, second);
        EXPECT_TRUE(ofType<SendToOwner>(out).at(0).frame.has(frame_flags::backup));
        this->exchange(initiator, std::move(out), { &one, &two });
        one.admission.setDraining(true);
        OwnerCommands drained;
        one.owner.onTimer(drained);
        this->deliverAndExchange(initiator, one, drained);
        EXPECT_EQ(initiator.phase(), InitiatorPhase::Opening); // it still waits at the second
        two.admission.setDraining(true);
        drained.clear();
        two.owner.onTimer(drained);
        this->deliverAndExchange(initiator, two, drained);
        EXPECT_EQ(initiator.outcome(), FlowOutcome::NotRun);
    }

    // Guards the time until a refusal: in a saturated pool, a full queue refuses a flow that queued at once, but a flow
    // that asked first keeps waiting as a backup, because its refusal would take several round trips.
    TEST_F(FlowFixture, AFullQueueRefusesOnlyAFlowThatQueuedAtOnce)
    {
        for (const bool atOnce : { true, false }) {
            AdmissionOptions full;
            full.slots = 1;
            full.queueLimit = 0;
            Agent one(first, 11, this->clock, full);
            Agent two(second, 12, this->clock, full);
            one.admission.request({ { 1, 1 }, TrafficClass::Request, false, Milliseconds(0) });
            two.admission.request({ { 1, 2 }, TrafficClass::Request, false, Milliseconds(0) });
            this->options.plan = [] { return PlacementPlan { { first }, { first, second }, true }; };
            FlowInitiator initiator = this->makeInitiator();
            InitiatorCommands out;
            initiator.start({ first }, out, atOnce);
            this->exchange(initiator, std::move(out), { &one, &two });
            EXPECT_EQ(initiator.outcome(), atOnce ? FlowOutcome::NotRun : FlowOutcome::Open);
        }
    }

    // Guards the slots and R4: a reservation ahead starts no work before a slot is free, and until then nothing ran.
    TEST_F(FlowFixture, ReservationAheadHoldsDataUntilASlotIsFree)
    {
        AdmissionOptions ahead;
        ahead.slots = 2;
        ahead.reserveAhead = 1;
        Agent agent(first, 11, this->clock, ahead);
        for (uint64_t other = 1; other <= 2; ++other) {
            agent.admission.request({ { 1, other }, TrafficClass::Request, false, Milliseconds(0) });
            ASSERT_TRUE(agent.admission.start({ 1, other }));
        }
        Frame open = frameFor(FrameKind::Open, { first, 0, 0 });
        open.flags = frame_flags::mayQueue;
        const Frame opened = ofType<SendToInitiator>(agent.handleFrame(open)).back().frame;
        ASSERT_EQ(opened.kind, FrameKind::Opened);
        Frame data = frameFor(FrameKind::Data, opened.token);
        data.payload = "register";
        EXPECT_TRUE(ofType<ConnectUpstream>(agent.handleFrame(data)).empty());
        EXPECT_EQ(agent.owner.openFlows(), 0U);
        EXPECT_EQ(agent.owner.reservations(), 1U);
        EXPECT_EQ(onlyReply(agent.handleFrame(frameFor(FrameKind::Query, opened.token))).reason, Reason::None);
        agent.admission.release({ 1, 1 });
        OwnerCommands out;
        agent.owner.onTimer(out);
        EXPECT_EQ(ofType<ConnectUpstream>(out).size(), 1U);
        agent.owner.onUpstreamConnected(flowId, out);
        ASSERT_EQ(ofType<WriteUpstream>(out).size(), 1U);
        EXPECT_EQ(ofType<WriteUpstream>(out)[0].bytes, "register");
    }

    // Guards against work that starts after its caller gave up, and against a held flow that is reported as run.
    TEST_F(FlowFixture, CancelEndsAHeldFlowAsNotHandedOver)
    {
        AdmissionOptions ahead;
        ahead.slots = 2;
        ahead.reserveAhead = 1;
        Agent agent(first, 11, this->clock, ahead);
        for (uint64_t other = 1; other <= 2; ++other) {
            agent.admission.request({ { 1, other }, TrafficClass::Request, false, Milliseconds(0) });
            ASSERT_TRUE(agent.admission.start({ 1, other }));
        }
        Frame open = frameFor(FrameKind::Open, { first, 0, 0 });
        open.flags = frame_flags::mayQueue;
        const OwnerToken token = ofType<SendToInitiator>(agent.handleFrame(open)).back().frame.token;
        agent.handleFrame(frameFor(FrameKind::Data, token));
        agent.handleFrame(
            frameFor(FrameKind::Cancel, { first, 0, 0 })); // a late Cancel of an Open does not end a flow with Data
        EXPECT_EQ(agent.owner.reservations(), 1U);
        const Frame closed = onlyReply(agent.handleFrame(frameFor(FrameKind::Cancel, token)));
        EXPECT_EQ(closed.kind, FrameKind::Closed);
        EXPECT_FALSE(closed.has(frame_flags::handedOver));
        agent.admission.release({ 1, 1 });
        OwnerCommands out;
        agent.owner.onTimer(out);
        EXPECT_TRUE(ofType<ConnectUpstream>(out).empty());
        EXPECT_EQ(agent.owner.reservations(), 0U);
    }

    // Guards against work that starts at a draining upstream because its reservation is older than the drain, and
    // against refusing such a request although another upstream is free.
    TEST_F(FlowFixture, ReservationGrantedBeforeADrainStartsNoWorkAfterIt)
    {
        Agent one(first, 11, this->clock);
        Agent two(second, 12, this->clock);
        FlowInitiator initiator = this->makeInitiator();
        InitiatorCommands commands;
        initiator.start({ first, second }, commands);
        const std::vector<SendToOwner> opens = ofType<SendToOwner>(commands);
        ASSERT_EQ(opens.size(), 1U);
        const std::vector<SendToInitiator> granted = ofType<SendToInitiator>(one.handleFrame(opens[0].frame));
        ASSERT_EQ(granted.at(0).frame.kind, FrameKind::Opened);

        this->clock.advance(Milliseconds(3000)); // the initiator is paused while the reservation is valid
        one.admission.setDraining(true);
        InitiatorCommands resumed;
        initiator.onFrame(granted[0].frame, resumed);
        this->exchange(initiator, resumed, { &one, &two });

        EXPECT_EQ(one.owner.openFlows(), 0U) << "new work at a draining upstream";
        EXPECT_EQ(one.admission.load().busySlots, 0);
        EXPECT_EQ(two.owner.openFlows(), 1U);
        EXPECT_EQ(ofType<ConnectUpstream>(this->upstreamEvents).size(), 1U);
        EXPECT_EQ(initiator.phase(), InitiatorPhase::Bound);
        EXPECT_EQ(initiator.token().owner, second);
    }

    // Shows that the previous test detects the fault: without the check the draining upstream starts the work.
    TEST_F(FlowFixture, WithoutTheCheckAReservationStartsWorkAfterADrain)
    {
        Agent one(first, 11, this->clock);
        OwnerOptions unchecked = ownerOptions(first, 11);
        unchecked.ablations.startWhileDraining = true;
        FlowOwner owner(unchecked, one.admission, this->clock);
        FlowInitiator initiator = this->makeInitiator();
        InitiatorCommands commands;
        initiator.start({ first }, commands);
        OwnerCommands granted;
        owner.onFrame(ofType<SendToOwner>(commands).at(0).frame, one.route, granted);
        one.admission.setDraining(true);
        InitiatorCommands resumed;
        this->deliverReplies(initiator, granted, resumed);
        OwnerCommands started;
        owner.onFrame(ofType<SendToOwner>(resumed).at(0).frame, one.route, started);
        EXPECT_EQ(ofType<ConnectUpstream>(started).size(), 1U);
    }

    // Guards against a drain that is not reported as the reason when there is no other upstream.
    TEST_F(FlowFixture, RequestOfADrainedOnlyUpstreamIsNotRun)
    {
        Agent one(first, 11, this->clock);
        FlowInitiator initiator = this->makeInitiator();
        InitiatorCommands commands;
        initiator.start({ first }, commands);
        InitiatorCommands replies;
        this->deliverReplies(initiator, one.handleFrame(ofType<SendToOwner>(commands).at(0).frame), replies);
        one.admission.setDraining(true);
        this->exchange(initiator, replies, { &one });
        EXPECT_EQ(initiator.outcome(), FlowOutcome::NotRun);
        const std::vector<FlowEnded> ends = ofType<FlowEnded>(this->callerEvents);
        ASSERT_EQ(ends.size(), 1U);
        EXPECT_EQ(ends[0].reason, Reason::Draining);
        EXPECT_TRUE(ofType<ConnectUpstream>(this->upstreamEvents).empty());
    }

    // Guards truthful refusals: the same deadline ends as not run before Data was sent, and as unknown afterwards.
    TEST_F(FlowFixture, DeadlineOutcomeDependsOnWhetherDataWasSent)
    {
        Agent agent(first, 11, this->clock);
        this->options.deadline = Milliseconds(200);
        FlowInitiator unanswered = this->makeInitiator();
        FlowInitiator bound = this->makeInitiator();
        InitiatorCommands out;
        unanswered.start({ second }, out);
        out.clear();
        bound.start({ first }, out);
        this->exchange(bound, std::move(out), { &agent });
        EXPECT_EQ(agent.owner.openFlows(), 1U);
        this->clock.advance(Milliseconds(200));
        out.clear();
        unanswered.onTimer(out);
        EXPECT_EQ(unanswered.outcome(), FlowOutcome::NotRun);
        out.clear();
        bound.onTimer(out);
        this->exchange(bound, std::move(out), { &agent });
        EXPECT_EQ(bound.outcome(), FlowOutcome::OutcomeUnknown);
        EXPECT_EQ(agent.owner.openFlows(), 0U);
        EXPECT_EQ(ofType<ResetUpstream>(this->upstreamEvents).size(), 1U);
    }

    // Guards bounded memory: neither side takes more than its buffer while the other does not read.
    TEST_F(FlowFixture, SlowReadersStopTheSender)
    {
        Agent agent(first, 11, this->clock);
        FlowInitiator initiator = this->makeInitiator();
        InitiatorCommands out;
        initiator.start({ first }, out);
        this->exchange(initiator, std::move(out), { &agent });
        OwnerCommands owned;
        agent.owner.onUpstreamConnected(flowId, owned);
        out.clear();
        EXPECT_EQ(initiator.write(std::string(1000000, 'r'), out), this->options.sendBufferBytes);
        this->exchange(initiator, std::move(out), { &agent });
        EXPECT_EQ(initiator.freeSendBuffer(), 0U);

        const std::string chunk(64 * 1024, 'a');
        size_t sent = 0;
        while (agent.owner.freeSendBuffer(flowId) >= chunk.size() && sent < 10000000) {
            owned.clear();
            agent.owner.onUpstreamBytes(flowId, chunk, owned);
            sent += chunk.size();
            this->deliverAndExchange(initiator, agent, owned);
        }
        EXPECT_EQ(sent, 512U * 1024); // a receive window at the caller and a full send buffer at the owner
        out.clear();
        initiator.onDelivered(256 * 1024, out);
        this->exchange(initiator, std::move(out), { &agent });
        EXPECT_EQ(agent.owner.freeSendBuffer(flowId), 256U * 1024);
    }

    // Guards the resumption of a flow over a new link: nothing is lost or repeated.
    TEST_F(FlowFixture, ResumesByOffsetOnANewLink)
    {
        Agent agent(first, 11, this->clock);
        this->options.trafficClass = TrafficClass::Feed;
        FlowInitiator initiator = this->makeInitiator();
        InitiatorCommands out;
        initiator.start({ first }, out);
        this->exchange(initiator, std::move(out), { &agent });
        OwnerCommands lost;
        agent.owner.onUpstreamConnected(flowId, lost);
        agent.owner.onUpstreamBytes(flowId, "alert 1 ", lost);
        agent.owner.onLinkLost(agent.route.link, lost);
        OwnerCommands silent;
        agent.owner.onUpstreamBytes(flowId, "alert 2", silent);
        EXPECT_TRUE(silent.empty());
        out.clear();
        initiator.onTransportReset(out);
        agent.route.link = 2;
        this->exchange(initiator, std::move(out), { &agent });
        std::string delivered;
        for (const DeliverToCaller& deliver : ofType<DeliverToCaller>(this->callerEvents))
            delivered += deliver.bytes;
        EXPECT_EQ(delivered, "alert 1 alert 2");
    }

    // Guards against an agent that stops replying after a link loss between Open and Data, when Open is sent again.
    TEST_F(FlowFixture, ReservationFollowsTheFlowToANewLink)
    {
        Agent agent(first, 11, this->clock);
        reserve(agent);
        OwnerCommands out;
        agent.owner.onLinkLost(agent.route.link, out);
        agent.route.link = 2;
        const OwnerToken token = reserve(agent);
        EXPECT_EQ(ofType<SendToInitiator>(agent.handleFrame(frameFor(FrameKind::Data, token))).at(0).route.link, 2U);
    }

    // Guards R1: an agent abandons a flow only if its initiator is silent, not because a feed is idle or it was paused.
    TEST_F(FlowFixture, AbandonsOnlyASilentInitiator)
    {
        Agent agent(first, 11, this->clock);
        agent.handleFrame(frameFor(FrameKind::Data, reserve(agent)));
        OwnerCommands out;
        agent.owner.onUpstreamConnected(flowId, out);
        agent.handleFrame(frameFor(FrameKind::Ping, { first, 11, 1 }));
        this->clock.advance(std::chrono::hours(1));
        agent.owner.onUpstreamBytes(flowId, "alert", out);
        agent.owner.onTimer(out);
        EXPECT_EQ(agent.owner.openFlows(), 1U);
        this->clock.advance(std::chrono::minutes(5)); // the agent is paused past the timer
        agent.owner.onTimer(out);
        EXPECT_EQ(agent.owner.openFlows(), 1U);
        this->clock.set(*agent.owner.nextTimer());
        agent.owner.onTimer(out);
        EXPECT_EQ(agent.owner.openFlows(), 0U);
        EXPECT_EQ(ofType<ResetUpstream>(out).size(), 1U);
    }

    // Guards against mistaking the reply to a heartbeat for the acknowledgement of a lost first Data.
    TEST_F(FlowFixture, LostFirstDataIsSentAgain)
    {
        Agent agent(first, 11, this->clock);
        this->options.datagrams = true;
        FlowInitiator initiator = this->makeInitiator();
        InitiatorCommands out;
        initiator.start({ first }, out);
        InitiatorCommands lost;
        initiator.onFrame(onlyReply(agent.handleFrame(ofType<SendToOwner>(out).at(0).frame)), lost);
        this->exchange(initiator, { SendToOwner { first, frameFor(FrameKind::Ping, initiator.token()) } }, { &agent });
        EXPECT_EQ(agent.owner.openFlows(), 0U);
        this->clock.set(*initiator.nextTimer());
        out.clear();
        initiator.onTimer(out);
        this->exchange(initiator, std::move(out), { &agent });
        EXPECT_EQ(agent.owner.openFlows(), 1U);
        EXPECT_FALSE(initiator.hasUnacknowledged());
    }

} // namespace
} // namespace wasabicroft
