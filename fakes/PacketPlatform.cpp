#include "fakes/PacketPlatform.h"

#include "platform/PacketLayout.h"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

namespace wasabicroft::fakes {

namespace json = boost::json;

namespace {

    constexpr uint16_t maxPayload = 1200;
    constexpr size_t windowPackets = 16; // packets in flight per flow
    // Distance between the sequence ranges of hosts, so that a client's acknowledgement matches only one host.
    constexpr uint32_t hostSequenceSpacing = 10000000;

    std::string base64(const std::string& text)
    {
        namespace codec = boost::beast::detail::base64;
        std::string encoded(codec::encoded_size(text.size()), '\0');
        encoded.resize(codec::encode(encoded.data(), text.data(), text.size()));
        return encoded;
    }

} // namespace

//-----------------------------------------------------------------------------
// Store
//-----------------------------------------------------------------------------

PacketStore::PacketStore(boost::asio::io_context& context, const Endpoint& listen)
    : service(context, listen, [this](const HttpRequest& request) { return this->answer(request); })
{
}

void PacketStore::put(const std::string& key, const std::string& value)
{
    this->items[key] = { value, ++this->revision, false };
}

void PacketStore::remove(const std::string& key) { this->items[key] = { "", ++this->revision, true }; }

void PacketStore::setDown(bool down) { this->isDown = down; }

HttpReply PacketStore::answer(const HttpRequest& request)
{
    ++this->callCount;
    if (this->isDown)
        return { 503, "{}", {} };
    const auto describe = [](const std::string& key, const Item& item) {
        json::object described { { "key", key }, { "rev", item.revision } };
        if (item.removed)
            described["removed"] = true;
        else
            described["value"] = base64(item.value);
        return described;
    };
    if (request.path == "/-/kv-key") {
        const std::string key = request.queryText("key");
        const auto found = this->items.find(key);
        if (found == this->items.end() || found->second.removed)
            return { 404, "{}", {} };
        json::object body = describe(key, found->second);
        body["store_revision"] = this->revision;
        return { 200, json::serialize(body), {} };
    }
    const bool isWatch = request.path == "/-/kv-watch";
    const uint64_t after = isWatch ? static_cast<uint64_t>(request.queryNumber("after", 0)) : 0;
    const std::string prefix = request.queryText("prefix");
    json::array listed;
    for (const auto& [key, item] : this->items) {
        if (key.starts_with(prefix) && item.revision > after && (isWatch || !item.removed))
            listed.push_back(describe(key, item));
    }
    json::object body { { isWatch ? "events" : "items", std::move(listed) }, { "store_revision", this->revision } };
    if (!isWatch)
        body["has_more"] = false;
    return { 200, json::serialize(body), {} };
}

//-----------------------------------------------------------------------------
// Host
//-----------------------------------------------------------------------------

void PacketRequest::write(std::vector<uint8_t>& bytes, size_t at) const
{
    writeBigEndian(bytes, at, this->answerBytes, sizeof(this->answerBytes));
    writeBigEndian(bytes, at + sizeof(this->answerBytes), this->id, sizeof(this->id));
}

PacketRequest PacketRequest::read(Bytes payload)
{
    return { static_cast<uint32_t>(readBigEndian(payload, 0, sizeof(uint32_t))),
        readBigEndian(payload, sizeof(uint32_t), sizeof(uint64_t)) };
}

PacketAnswer PacketAnswer::read(Bytes payload)
{
    return { readBigEndian(payload, 0, sizeof(uint64_t)),
        static_cast<uint32_t>(readBigEndian(payload, sizeof(uint64_t), sizeof(uint32_t))) };
}

PacketHost::PacketHost(
    boost::asio::io_context& context, PacketAddress listen, PacketAddress outbound, PacketHostHooks hostHooks)
    : socket(context)
    , agent(outbound)
    , hooks(std::move(hostHooks))
    , nextSequence((listen.address & 0xffU) * hostSequenceSpacing)
{
    if (!this->socket.open(listen))
        throw std::runtime_error("can't bind " + toString(listen));
    this->socket.start([this](PacketAddress, std::span<uint8_t> bytes) { this->onPacket(bytes); });
}

void PacketHost::crash() { this->flows.clear(); }

bool PacketHost::hasOpenFlow(const FlowKey& key) const
{
    const auto found = this->flows.find(key);
    return found != this->flows.end() && found->second.isOpen;
}

void PacketHost::onPacket(std::span<uint8_t> bytes)
{
    const Result<Packet> decoded = platform::decodePacket(bytes);
    if (!decoded || this->isFrozen)
        return;
    const Packet& packet = decoded.value();
    const FlowKey key = packet.flowKeyFromClient();
    if ((packet.rst || packet.isSynAck() || packet.bounced) && this->hooks.onUnexpectedPacket)
        this->hooks.onUnexpectedPacket(key);
    if (packet.isSyn()) {
        Flow& flow = this->flows[key];
        if (flow.sequence == 0) {
            this->nextSequence += 100000;
            flow.sequence = this->nextSequence;
            flow.nextClientSequence = packet.sequence + 1;
            if (this->hooks.onSyn)
                this->hooks.onSyn(key);
        }
        this->socket.send(this->agent,
            makePacket(key.route, key.client, packet_flags::syn | packet_flags::ack, flow.sequence,
                flow.nextClientSequence, 0));
        return;
    }
    const auto found = this->flows.find(key);
    const bool isKnownFlow
        = found != this->flows.end() && (found->second.isOpen || packet.acknowledgement == found->second.sequence + 1);
    if (!isKnownFlow) {
        bytes[0] |= packet_flags::bounced;
        this->socket.send(this->agent, bytes);
        return;
    }
    Flow& flow = found->second;
    flow.sequence += flow.isOpen ? 0 : 1;
    flow.isOpen = true;
    this->onData(key, flow, packet, bytes.subspan(platform::packetHeaderBytes));
    if (packet.fin) {
        this->socket.send(this->agent,
            makePacket(key.route, key.client, packet_flags::fin | packet_flags::ack, flow.sequence,
                flow.nextClientSequence, 0));
        this->flows.erase(found);
    }
}

void PacketHost::onData(const FlowKey& key, Flow& flow, const Packet& packet, Bytes payload)
{
    if (packet.payloadBytes >= PacketRequest::size && packet.sequence == flow.nextClientSequence) {
        flow.nextClientSequence += packet.payloadBytes;
        flow.sequence = packet.acknowledgement; // a new request implies that the previous answer arrived completely
        flow.request = PacketRequest::read(payload);
        flow.unsentBytes = flow.request.answerBytes;
        flow.answerDue = std::chrono::steady_clock::now() + this->workTime;
        ++this->requestCount;
        if (this->hooks.onRequest)
            this->hooks.onRequest(key, payload);
        if (this->workTime.count() == 0)
            this->sendAnswer(key, flow, windowPackets);
    } else if (packet.payloadBytes > 0 && flow.answerDue == TimePoint()) {
        const uint32_t unacknowledged = flow.sequence - packet.acknowledgement;
        if (unacknowledged > flow.request.answerBytes - flow.unsentBytes)
            return; // a delayed duplicate of an earlier request
        flow.sequence = packet.acknowledgement;
        flow.unsentBytes += unacknowledged;
        this->sendAnswer(key, flow, windowPackets);
    } else if (packet.payloadBytes == 0 && flow.answerDue == TimePoint()) {
        this->sendAnswer(key, flow, 2); // each ACK lets two packets be sent
    }
}

void PacketHost::onTick(TimePoint now)
{
    if (this->isFrozen)
        return;
    for (auto& [key, flow] : this->flows) {
        if (flow.answerDue != TimePoint() && flow.answerDue <= now)
            this->sendAnswer(key, flow, windowPackets);
    }
    this->socket.flush();
}

void PacketHost::sendAnswer(const FlowKey& key, Flow& flow, size_t packets)
{
    flow.answerDue = TimePoint();
    for (; packets > 0 && flow.unsentBytes > 0; --packets) {
        const uint16_t size = static_cast<uint16_t>(std::min<size_t>(flow.unsentBytes, maxPayload));
        std::vector<uint8_t> bytes
            = makePacket(key.route, key.client, packet_flags::ack, flow.sequence, flow.nextClientSequence, size);
        if (size >= PacketAnswer::size) {
            writeBigEndian(bytes, platform::packetHeaderBytes, flow.request.id, sizeof(uint64_t));
            writeBigEndian(bytes, platform::packetHeaderBytes + sizeof(uint64_t),
                flow.request.answerBytes - flow.unsentBytes, sizeof(uint32_t));
        }
        this->socket.send(this->agent, bytes);
        flow.sequence += size;
        flow.unsentBytes -= size;
    }
}

//-----------------------------------------------------------------------------
// Client
//-----------------------------------------------------------------------------

PacketClient::PacketClient(boost::asio::io_context& context, PacketAddress listen)
    : socket(context)
{
    if (!this->socket.open(listen))
        throw std::runtime_error("can't bind " + toString(listen));
    this->flow.client.address = listen.address;
    this->socket.start([this](PacketAddress, std::span<uint8_t> bytes) { this->onPacket(bytes); });
}

void PacketClient::open(uint16_t port, PacketAddress route)
{
    this->flow.client.port = port;
    this->flow.route = route;
    this->sequence = 5000;
    this->hostSequence = 0;
    this->synCopies = 0;
    this->resetSeen = false;
    this->repeatSyn();
}

void PacketClient::repeatSyn()
{
    this->socket.send(this->entry,
        makePacket(this->flow.client, this->flow.route, packet_flags::syn, this->sequence, this->synCopies++, 0));
    this->socket.flush();
}

void PacketClient::send(uint8_t flags, uint32_t at, const std::vector<uint8_t>& payload)
{
    std::vector<uint8_t> bytes = makePacket(
        this->flow.client, this->flow.route, flags, at, this->hostSequence, static_cast<uint16_t>(payload.size()));
    std::copy(payload.begin(), payload.end(), bytes.begin() + platform::packetHeaderBytes);
    this->socket.send(this->entry, bytes);
    this->socket.flush();
}

void PacketClient::request(uint32_t answerBytes)
{
    this->sequence += static_cast<uint32_t>(this->lastRequest.size());
    this->lastRequest.assign(64, 0);
    PacketRequest { answerBytes, 0 }.write(this->lastRequest, 0);
    this->receivedBytes = 0;
    this->repeatRequest();
}

void PacketClient::repeatRequest() { this->send(packet_flags::ack, this->sequence, this->lastRequest); }

void PacketClient::onPacket(std::span<uint8_t> bytes)
{
    const Result<Packet> decoded = platform::decodePacket(bytes);
    if (!decoded || decoded.value().flowKeyFromUpstream() != this->flow)
        return;
    const Packet& packet = decoded.value();
    if (packet.rst) {
        this->resetSeen = true;
    } else if (packet.isSynAck()) {
        if (this->hostSequence == 0) {
            this->hostSequence = packet.sequence + 1;
            ++this->sequence;
            this->lastRequest.clear();
        }
        this->send(packet_flags::ack, this->sequence);
    } else if (packet.payloadBytes > 0) {
        this->outOfOrderSequences.insert(packet.sequence);
        while (this->outOfOrderSequences.erase(this->hostSequence) > 0) {
            const uint32_t size = packet.payloadBytes;
            this->hostSequence += size;
            this->receivedBytes += size;
        }
        this->send(packet_flags::ack, this->sequence + static_cast<uint32_t>(this->lastRequest.size()));
    }
}

} // namespace wasabicroft::fakes
