// Focused cases of the two flow state machines, wired to each other without a network.
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
    const ReplyRoute link1 { 1, {} };

    template <typename Command, typename Commands> std::vector<Command> only(const Commands& commands)
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

        OwnerCommands take(const Frame& frame)
        {
            OwnerCommands out;
            this->owner.onFrame(frame, link1, out);
            return out;
        }

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

        // Passes frames both ways until both sides are silent; other commands are collected.
        void exchange(FlowInitiator& initiator, InitiatorCommands commands, std::vector<Agent*> agents)
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
                            this->answer(initiator, agent->take(send->frame), replies);
                }
                commands = std::move(replies);
            }
        }

        void answer(FlowInitiator& initiator, const OwnerCommands& commands, InitiatorCommands& replies)
        {
            for (const OwnerCommand& command : commands)
                if (const SendToInitiator* send = std::get_if<SendToInitiator>(&command))
                    initiator.onFrame(send->frame, replies);
                else
                    this->upstreamEvents.push_back(command);
        }

        void fromOwner(FlowInitiator& initiator, Agent& agent, const OwnerCommands& commands)
        {
            InitiatorCommands replies;
            this->answer(initiator, commands, replies);
            this->exchange(initiator, replies, { &agent });
        }

        ManualClock clock;
        InitiatorOptions options;
        InitiatorCommands callerEvents;
        OwnerCommands upstreamEvents;
        uint64_t violationsBefore;
    };

    // Guards against an upstream that speaks first never being connected, and against a lost half-close.
    TEST_F(FlowFixture, UpstreamMaySpeakFirstAndBothHalvesClose)
    {
        Agent agent(first, 11, this->clock);
        FlowInitiator initiator = this->makeInitiator();
        InitiatorCommands out;
        initiator.start({ first }, out);
        this->exchange(initiator, std::move(out), { &agent });
        ASSERT_EQ(only<ConnectUpstream>(this->upstreamEvents).size(), 1U);

        OwnerCommands owned;
        agent.owner.onUpstreamConnected(flowId, owned);
        agent.owner.onUpstreamBytes(flowId, "hello", owned);
        this->fromOwner(initiator, agent, owned);
        ASSERT_EQ(only<DeliverToCaller>(this->callerEvents).size(), 1U);
        EXPECT_EQ(only<DeliverToCaller>(this->callerEvents)[0].bytes, "hello");

        out.clear();
        EXPECT_EQ(initiator.write("register", out), 8U);
        initiator.finishWriting(out);
        this->exchange(initiator, std::move(out), { &agent });
        ASSERT_EQ(only<WriteUpstream>(this->upstreamEvents).size(), 1U);
        EXPECT_EQ(only<WriteUpstream>(this->upstreamEvents)[0].bytes, "register");
        EXPECT_EQ(only<FinishUpstream>(this->upstreamEvents).size(), 1U);
        EXPECT_TRUE(initiator.hasUnacknowledged());

        owned.clear();
        agent.owner.onUpstreamWritten(flowId, 8, owned);
        this->fromOwner(initiator, agent, owned);
        EXPECT_FALSE(initiator.hasUnacknowledged());

        owned.clear();
        agent.owner.onUpstreamEnd(flowId, owned);
        this->fromOwner(initiator, agent, owned);
        EXPECT_EQ(initiator.outcome(), FlowOutcome::Completed);
        EXPECT_EQ(agent.owner.openFlows(), 0U);
        EXPECT_EQ(agent.admission.load().busySlots, 0);
    }

} // namespace
} // namespace wasabicroft
