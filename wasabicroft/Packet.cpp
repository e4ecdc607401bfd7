#include "wasabicroft/Packet.h"

#include "Hop_generated.h"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace wasabicroft {

namespace {

    constexpr uint32_t hopMagic = 0x77631003; // version 3 of the hop message format

    constexpr Milliseconds loadIntervalStep(20);

    static_assert(sizeof(wire::Hop) == hopHeaderBytes);
    static_assert(sizeof(wire::FlowEnds) == flowKeyBytes);

    uint64_t toUint64(PacketAddress address) { return (static_cast<uint64_t>(address.address) << 16) | address.port; }

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Packets
//-----------------------------------------------------------------------------

std::string toString(PacketAddress address)
{
    constexpr size_t maxLength = 21; // "255.255.255.255:65535"
    std::array<char, maxLength> text {};
    char* next = text.data();
    char* const end = text.data() + text.size();
    for (int shift = 24; shift >= 0; shift -= 8) {
        next = std::to_chars(next, end, (address.address >> shift) & 0xffU).ptr;
        *next++ = shift > 0 ? '.' : ':';
    }
    next = std::to_chars(next, end, address.port).ptr;
    return { text.data(), next };
}

std::optional<PacketAddress> parsePacketAddress(std::string_view text)
{
    PacketAddress result;
    const char* next = text.data();
    const char* const end = text.data() + text.size();
    for (int part = 0; part < 4; ++part) {
        uint8_t value = 0;
        const std::from_chars_result parsed = std::from_chars(next, end, value);
        const char separator = part < 3 ? '.' : ':';
        if (parsed.ec != std::errc() || parsed.ptr == end || *parsed.ptr != separator)
            return std::nullopt;
        result.address = (result.address << 8) | value;
        next = parsed.ptr + 1;
    }
    const std::from_chars_result parsed = std::from_chars(next, end, result.port);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return result;
}

Milliseconds synAge(const Packet& syn)
{
    // Times at which clients send the copies, from the first one on.
    constexpr std::array<Milliseconds, 3> sendTimes { Milliseconds(0), Milliseconds(200), Milliseconds(600) };
    return sendTimes.at(std::min<size_t>(syn.acknowledgement, sendTimes.size() - 1));
}

std::string toString(const FlowKey& flow) { return toString(flow.client) + '>' + toString(flow.route); }

size_t FlowKeyHash::operator()(const FlowKey& flow) const noexcept
{
    return static_cast<size_t>(mixBits(toUint64(flow.client) + splitMixIncrement * toUint64(flow.route)));
}

//-----------------------------------------------------------------------------
// [SECTION] Hop messages
//-----------------------------------------------------------------------------

std::string_view nameOf(HopKind kind) { return hopKindNames.at(static_cast<size_t>(kind)); }

std::string_view nameOf(HopRefusal refusal) { return hopRefusalNames.at(static_cast<size_t>(refusal)); }

namespace {

    // What an entry states of the receiver's upstream. Older entries state NotStated with the slots of a ready one.
    enum class HopUpstreamState : uint16_t { NotStated, Ready, Draining };

    constexpr unsigned halfBits = 32;

    bool isFromEntry(HopKind kind)
    {
        return kind == HopKind::Offer || kind == HopKind::Forward || kind == HopKind::Find || kind == HopKind::Ask
            || kind == HopKind::Search || kind == HopKind::Delegate || kind == HopKind::Located
            || kind == HopKind::Directive;
    }

    // The header has one field for these addresses.
    PacketAddress addressInHeader(const HopMessage& message)
    {
        if (message.kind == HopKind::Find)
            return message.replyTo;
        return message.kind == HopKind::Located ? message.holder : message.flow.client;
    }

    uint16_t toUint16Ms(Milliseconds time)
    {
        return static_cast<uint16_t>(std::clamp<int64_t>(time.count(), 0, UINT16_MAX));
    }

    void encodeEntryFigures(const HopMessage& message, wire::Hop& header)
    {
        if (message.upstream) {
            const HopUpstreamState state
                = message.upstream->draining ? HopUpstreamState::Draining : HopUpstreamState::Ready;
            header.mutate_upstream_sequence(static_cast<uint32_t>(message.upstream->revision >> halfBits));
            header.mutate_flows(static_cast<uint32_t>(message.upstream->revision));
            header.mutate_busy(static_cast<uint16_t>(state));
            header.mutate_slots(message.upstream->slots);
        }
        const RequestLimits limits = message.limits.value_or(RequestLimits());
        header.mutate_waiting(message.limits ? 0 : 1);
        header.mutate_objective_ms(toUint16Ms(limits.objective));
        header.mutate_timeout_ms(
            toUint16Ms(message.kind == HopKind::Ask ? message.idleTimeout.value_or(Milliseconds(0)) : limits.timeout));
        header.mutate_priority(static_cast<uint8_t>(std::min<unsigned>(limits.priority, UINT8_MAX)));
        header.mutate_refusal(static_cast<uint8_t>(message.targets.size()));
        header.mutate_load_interval(
            static_cast<uint8_t>(std::clamp<int64_t>(message.loadInterval / loadIntervalStep, 0, UINT8_MAX)));
    }

    void decodeEntryFigures(const wire::Hop& header, HopMessage& message)
    {
        const HopUpstreamState state = static_cast<HopUpstreamState>(header.busy());
        if (header.slots() > 0) {
            const uint64_t revision = static_cast<uint64_t>(header.upstream_sequence()) << halfBits | header.flows();
            message.upstream = { revision, header.slots(), state == HopUpstreamState::Draining };
        }
        if (message.kind == HopKind::Ask) {
            if (header.timeout_ms() > 0)
                message.idleTimeout = Milliseconds(header.timeout_ms());
        } else if (header.waiting() == 0) {
            message.limits
                = { Milliseconds(header.objective_ms()), Milliseconds(header.timeout_ms()), header.priority() };
        }
        message.loadInterval = header.load_interval() * loadIntervalStep;
    }

    constexpr std::chrono::microseconds serviceTimeStep { 100 };

    void encodePerformance(const UpstreamPerformance& performance, wire::Hop& header)
    {
        const int64_t steps = std::clamp<int64_t>(performance.serviceTime / serviceTimeStep, 0, UINT16_MAX);
        header.mutate_objective_ms(toUint16Ms(performance.expectedWait));
        header.mutate_timeout_ms(static_cast<uint16_t>(steps));
        header.mutate_priority(1);
    }

    // Agents of older versions leave these fields 0.
    std::optional<UpstreamPerformance> decodePerformance(const wire::Hop& header)
    {
        if (header.priority() == 0)
            return std::nullopt;
        return UpstreamPerformance { Milliseconds(header.objective_ms()), header.timeout_ms() * serviceTimeStep };
    }

    void encodeAgentFigures(const HopMessage& message, wire::Hop& header)
    {
        header.mutate_upstream_sequence(message.upstreamSequence);
        header.mutate_flows(message.heldFlows);
        header.mutate_busy(message.runningRequests);
        header.mutate_waiting(message.waitingRequests);
        header.mutate_slots(message.slots);
        header.mutate_refusal(static_cast<uint8_t>(message.refusal));
        if (message.performance)
            encodePerformance(*message.performance, header);
    }

    void decodeAgentFigures(const wire::Hop& header, HopMessage& message)
    {
        message.upstreamSequence = header.upstream_sequence();
        message.heldFlows = header.flows();
        message.runningRequests = header.busy();
        message.waitingRequests = header.waiting();
        message.slots = header.slots();
        message.refusal = static_cast<HopRefusal>(header.refusal());
        message.performance = decodePerformance(header);
    }

    wire::UpstreamDirective toWire(const UpstreamDirective& directive)
    {
        const int64_t coldLeft = std::clamp<int64_t>(directive.coldLeft.count(), 0, UINT32_MAX);
        return { directive.evacuationPosition, static_cast<uint32_t>(coldLeft), directive.coldFlowsPerSecond,
            directive.evacuated ? 1U : 0U };
    }

    UpstreamDirective fromWire(const wire::UpstreamDirective& directive)
    {
        return { directive.evacuation_position(), directive.evacuated() != 0,
            Milliseconds(directive.remaining_cold_ms()), directive.cold_flows_per_second() };
    }

} // namespace

size_t encodedBytes(const HopMessage& message)
{
    const size_t directiveBytes = message.kind == HopKind::Directive ? sizeof(wire::UpstreamDirective) : 0;
    return hopHeaderBytes + message.packet.size() + message.targets.size() * sizeof(uint32_t)
        + message.flowKeys.size() * sizeof(wire::FlowEnds) + directiveBytes;
}

void encodeHop(const HopMessage& message, std::vector<uint8_t>& out)
{
    const size_t messageBytes = encodedBytes(message);
    wire::Hop header;
    header.mutate_service(message.service.value);
    const PacketAddress address = addressInHeader(message);
    header.mutate_client_address(address.address);
    header.mutate_client_port(address.port);
    header.mutate_route_address(message.flow.route.address);
    header.mutate_route_port(message.flow.route.port);
    header.mutate_magic(hopMagic);
    header.mutate_packet_bytes(static_cast<uint16_t>(messageBytes - hopHeaderBytes));
    header.mutate_kind(static_cast<uint8_t>(message.kind));
    isFromEntry(message.kind) ? encodeEntryFigures(message, header) : encodeAgentFigures(message, header);
    const size_t start = out.size();
    out.resize(start + messageBytes);
    std::memcpy(out.data() + start, &header, hopHeaderBytes);
    uint8_t* next = out.data() + start + hopHeaderBytes;
    if (!message.packet.empty())
        std::memcpy(next, message.packet.data(), message.packet.size());
    next += message.packet.size();
    if (!message.targets.empty())
        std::memcpy(next, message.targets.data(), message.targets.size() * sizeof(uint32_t));
    for (const FlowKey& key : message.flowKeys) {
        const wire::FlowEnds ends(key.client.address, key.route.address, key.client.port, key.route.port);
        std::memcpy(next, &ends, sizeof(ends));
        next += sizeof(ends);
    }
    if (message.kind == HopKind::Directive) {
        const wire::UpstreamDirective directive = toWire(message.directive);
        std::memcpy(next, &directive, sizeof(directive));
    }
}

bool carriesFlowKeys(HopKind kind)
{
    return kind == HopKind::Ask || kind == HopKind::Known || kind == HopKind::Unsure || kind == HopKind::Denied
        || kind == HopKind::Located;
}

Result<HopMessage> decodeHop(Bytes bytes)
{
    if (bytes.size() < hopHeaderBytes)
        return Error { ErrorKind::InvalidFrame, "the message is shorter than its header; check the sender's version" };
    wire::Hop header;
    std::memcpy(&header, bytes.data(), hopHeaderBytes);
    if (header.magic() != hopMagic)
        return Error { ErrorKind::InvalidFrame, "the message has an unknown version; run one version on all hosts" };
    if (header.kind() >= hopKindNames.size())
        return Error { ErrorKind::InvalidFrame, "the message has an unknown kind; run one version on all hosts" };
    if (!isFromEntry(static_cast<HopKind>(header.kind())) && header.refusal() >= hopRefusalNames.size())
        return Error { ErrorKind::InvalidFrame, "the message has an unknown cause; run one version on all hosts" };
    if (header.packet_bytes() != bytes.size() - hopHeaderBytes)
        return Error { ErrorKind::InvalidFrame, "the message has a wrong length; check the network for truncation" };
    HopMessage message;
    message.kind = static_cast<HopKind>(header.kind());
    message.service = { header.service() };
    message.flow.client = { header.client_address(), header.client_port() };
    message.flow.route = { header.route_address(), header.route_port() };
    isFromEntry(message.kind) ? decodeEntryFigures(header, message) : decodeAgentFigures(header, message);
    if (message.kind == HopKind::Find)
        message.replyTo = std::exchange(message.flow.client, PacketAddress());
    if (message.kind == HopKind::Located)
        message.holder = std::exchange(message.flow.client, PacketAddress());
    const Bytes payload = bytes.subspan(hopHeaderBytes);
    if (message.kind == HopKind::Directive) {
        wire::UpstreamDirective directive;
        if (payload.size() != sizeof(directive))
            return Error { ErrorKind::InvalidFrame, "the directive has a wrong length; check the sender's version" };
        std::memcpy(&directive, payload.data(), sizeof(directive));
        message.directive = fromWire(directive);
        return message;
    }
    if (!carriesFlowKeys(message.kind)) {
        const size_t targetCount = message.kind == HopKind::Search ? header.refusal() : 0;
        const size_t targetBytes = targetCount * sizeof(uint32_t);
        if (targetCount > maxSearchTargets || targetBytes > payload.size())
            return Error { ErrorKind::InvalidFrame,
                "the message has a wrong length; check the network for truncation" };
        message.packet = payload.first(payload.size() - targetBytes);
        message.targets.resize(targetCount);
        if (targetCount > 0)
            std::memcpy(message.targets.data(), payload.last(targetBytes).data(), targetBytes);
        return message;
    }
    if (payload.size() % sizeof(wire::FlowEnds) != 0 || payload.size() / sizeof(wire::FlowEnds) > maxFlowKeysPerMessage)
        return Error { ErrorKind::InvalidFrame, "the message has a wrong length; check the network for truncation" };
    for (size_t offset = 0; offset < payload.size(); offset += sizeof(wire::FlowEnds)) {
        wire::FlowEnds ends;
        std::memcpy(&ends, payload.data() + offset, sizeof(ends));
        message.flowKeys.push_back(
            { { ends.client_address(), ends.client_port() }, { ends.route_address(), ends.route_port() } });
    }
    return message;
}

bool InvalidSenderLogLimiter::shouldLog(PacketAddress sender, TimePoint now)
{
    if (now - this->intervalStart >= interval) {
        this->loggedSenders.clear();
        this->intervalStart = now;
    }
    const bool isLogged
        = std::find(this->loggedSenders.begin(), this->loggedSenders.end(), sender) != this->loggedSenders.end();
    if (isLogged || this->loggedSenders.size() >= maxSenders)
        return false;
    this->loggedSenders.push_back(sender);
    return true;
}

} // namespace wasabicroft
