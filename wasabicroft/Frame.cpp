#include "wasabicroft/Frame.h"

#include <Frame_generated.h>
#include <algorithm>

namespace wasabicroft {

namespace {

    // Limits for the verifier; a frame is one table without nesting.
    constexpr flatbuffers::uoffset_t maxVerifierDepth = 4;
    constexpr flatbuffers::uoffset_t maxVerifierTables = 4;

    uint32_t toWireMilliseconds(Milliseconds value)
    {
        return static_cast<uint32_t>(std::clamp<Milliseconds::rep>(value.count(), 0, UINT32_MAX));
    }

    std::string toText(const flatbuffers::String* text) { return text ? text->str() : std::string(); }

    flatbuffers::Offset<flatbuffers::String> createString(
        flatbuffers::FlatBufferBuilder& builder, const std::string& text)
    {
        if (text.empty())
            return 0;
        return builder.CreateString(text);
    }

    flatbuffers::Offset<flatbuffers::Vector<uint8_t>> createByteVector(
        flatbuffers::FlatBufferBuilder& builder, const std::string& bytes)
    {
        if (bytes.empty())
            return 0;
        return builder.CreateVector(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
    }

    void serializeFrame(flatbuffers::FlatBufferBuilder& builder, const Frame& frame)
    {
        const flatbuffers::Offset<flatbuffers::String> replyAddress = createString(builder, frame.replyAddress);
        const flatbuffers::Offset<flatbuffers::String> key = createString(builder, frame.key);
        const flatbuffers::Offset<flatbuffers::Vector<uint8_t>> payload = createByteVector(builder, frame.payload);
        builder.Finish(wire::CreateFrame(builder, static_cast<uint8_t>(frame.kind), frame.flow.high, frame.flow.low,
            frame.service.value, frame.token.owner.value, frame.token.incarnation, frame.token.reservation,
            frame.configVersion, frame.offset, frame.window, static_cast<uint8_t>(frame.trafficClass), frame.flags,
            static_cast<uint8_t>(frame.reason), toWireMilliseconds(frame.deadline),
            toWireMilliseconds(frame.retryAfter), frame.load.busySlots, frame.load.slots, frame.load.queueLength,
            frame.load.connections, replyAddress, key, payload, frame.configEpoch, frame.configDigest));
    }

    Error invalidFrame(std::string description)
    {
        return Error { ErrorKind::InvalidFrame,
            std::move(description) + "; check that all processes run the same version" };
    }

    bool enumsInRange(const wire::Frame& in)
    {
        return in.kind() < frameKindNames.size() && in.traffic_class() < trafficClassCount
            && in.reason() < reasonNames.size();
    }

    bool payloadInRange(const wire::Frame& in)
    {
        const size_t size = in.payload() ? in.payload()->size() : 0;
        const bool isValue = in.kind() == static_cast<uint8_t>(FrameKind::Value);
        return size <= (isValue ? maxValueBytes : maxPayloadBytes);
    }

    Frame toFrame(const wire::Frame& in)
    {
        Frame frame;
        frame.kind = static_cast<FrameKind>(in.kind());
        frame.flow = { in.flow_high(), in.flow_low() };
        frame.service = { in.service() };
        frame.token = { { in.owner() }, in.incarnation(), in.reservation() };
        frame.configVersion = in.config_version();
        frame.configEpoch = in.config_epoch();
        frame.configDigest = in.config_digest();
        frame.offset = in.offset();
        frame.window = in.window();
        frame.trafficClass = static_cast<TrafficClass>(in.traffic_class());
        frame.flags = in.flags();
        frame.reason = static_cast<Reason>(in.reason());
        frame.deadline = Milliseconds(in.deadline_ms());
        frame.retryAfter = Milliseconds(in.retry_after_ms());
        frame.load = { in.busy_slots(), in.slots(), in.queue_length(), in.connections() };
        frame.replyAddress = toText(in.reply_address());
        frame.key = toText(in.key());
        if (in.payload())
            frame.payload.assign(reinterpret_cast<const char*>(in.payload()->data()), in.payload()->size());
        return frame;
    }

} // namespace

std::string_view nameOf(FrameKind kind) { return frameKindNames.at(static_cast<size_t>(kind)); }

std::string_view nameOf(Reason reason) { return reasonNames.at(static_cast<size_t>(reason)); }

std::string encodeFrame(const Frame& frame)
{
    flatbuffers::FlatBufferBuilder builder(256 + frame.payload.size());
    serializeFrame(builder, frame);
    return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
}

void appendPrefixedFrame(const Frame& frame, std::string& out)
{
    // Reused by all calls of a thread, to avoid an allocation per frame.
    thread_local flatbuffers::FlatBufferBuilder builder(maxPayloadBytes + 1024);
    builder.Clear();
    serializeFrame(builder, frame);
    const uint32_t size = builder.GetSize();
    for (int shift = 0; shift < 32; shift += 8)
        out.push_back(static_cast<char>((size >> shift) & 0xff));
    out.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), size);
}

Result<Frame> decodeFrame(std::string_view bytes)
{
    if (bytes.size() > maxFrameBytes)
        return invalidFrame("frame of " + std::to_string(bytes.size()) + " bytes is over the limit of "
            + std::to_string(maxFrameBytes));
    flatbuffers::Verifier verifier(
        reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size(), maxVerifierDepth, maxVerifierTables, false);
    if (!verifier.VerifyBuffer<wire::Frame>(nullptr))
        return invalidFrame("frame of " + std::to_string(bytes.size()) + " bytes fails verification");
    const wire::Frame& in = *flatbuffers::GetRoot<wire::Frame>(bytes.data());
    if (!enumsInRange(in))
        return invalidFrame("frame has an unknown kind, traffic class or reason");
    if (!payloadInRange(in))
        return invalidFrame("frame payload is over the limit");
    return toFrame(in);
}

} // namespace wasabicroft
