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

void encodeHop(const HopMessage& message, std::vector<uint8_t>& out)
{
    const auto toUint16Ms
        = [](Milliseconds time) { return static_cast<uint16_t>(std::clamp<int64_t>(time.count(), 0, UINT16_MAX)); };
    const size_t flowBytes = message.flowKeys.size() * sizeof(wire::FlowEnds);
    const wire::Hop header(message.service.value, message.flow.client.address, message.flow.route.address,
        message.upstreamSequence, message.heldFlows, hopMagic, message.flow.client.port, message.flow.route.port,
        message.runningRequests, static_cast<uint16_t>(message.packet.size() + flowBytes),
        toUint16Ms(message.objective), toUint16Ms(message.timeout), message.slots, message.waitingRequests,
        message.priority, static_cast<uint8_t>(message.kind), static_cast<uint8_t>(message.refusal),
        static_cast<uint8_t>(std::clamp<int64_t>(message.loadInterval / loadIntervalStep, 0, UINT8_MAX)));
    const size_t start = out.size();
    out.resize(start + hopHeaderBytes + message.packet.size() + flowBytes);
    std::memcpy(out.data() + start, &header, hopHeaderBytes);
    uint8_t* next = out.data() + start + hopHeaderBytes;
    if (!message.packet.empty())
        std::memcpy(next, message.packet.data(), message.packet.size());
    for (const FlowKey& key : message.flowKeys) {
        const wire::FlowEnds ends(key.client.address, key.route.address, key.client.port, key.route.port);
        std::memcpy(next, &ends, sizeof(ends));
        next += sizeof(ends);
    }
}

bool carriesFlowKeys(HopKind kind)
{
    return kind == HopKind::Ask || kind == HopKind::Known || kind == HopKind::Unsure || kind == HopKind::Denied;
}

Result<HopMessage> decodeHop(Bytes bytes)
{
    if (bytes.size() < hopHeaderBytes)
        return Error { ErrorKind::InvalidFrame, "the message is shorter than its header; check the sender's version" };
    wire::Hop header;
    std::memcpy(&header, bytes.data(), hopHeaderBytes);
    if (header.magic() != hopMagic)
        return Error { ErrorKind::InvalidFrame, "the message has an unknown version; run one version on all hosts" };
    if (header.kind() >= hopKindNames.size() || header.refusal() >= hopRefusalNames.size())
        return Error { ErrorKind::InvalidFrame, "the message has an unknown kind; run one version on all hosts" };
    if (header.packet_bytes() != bytes.size() - hopHeaderBytes)
        return Error { ErrorKind::InvalidFrame, "the message has a wrong length; check the network for truncation" };
    HopMessage message;
    message.kind = static_cast<HopKind>(header.kind());
    message.refusal = static_cast<HopRefusal>(header.refusal());
    message.service = { header.service() };
    message.flow.client = { header.client_address(), header.client_port() };
    message.flow.route = { header.route_address(), header.route_port() };
    message.upstreamSequence = header.upstream_sequence();
    message.runningRequests = header.busy();
    message.heldFlows = header.flows();
    message.waitingRequests = header.waiting();
    message.slots = header.slots();
    message.objective = Milliseconds(header.objective_ms());
    message.timeout = Milliseconds(header.timeout_ms());
    message.priority = header.priority();
    message.loadInterval = header.load_interval() * loadIntervalStep;
    const Bytes payload = bytes.subspan(hopHeaderBytes);
    if (!carriesFlowKeys(message.kind)) {
        message.packet = payload;
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
