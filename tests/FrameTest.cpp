// Guards the codec: every field survives a round trip, and arbitrary bytes never crash the decoder.
#include "wasabicroft/Frame.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wasabicroft {
namespace {

    Frame arbitraryFrame()
    {
        Frame frame;
        frame.kind = static_cast<FrameKind>(*rc::gen::inRange<int>(0, frameKindNames.size()));
        frame.flow = { *rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint64_t>() };
        frame.service = { *rc::gen::arbitrary<uint64_t>() };
        frame.token
            = { { *rc::gen::arbitrary<uint64_t>() }, *rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint64_t>() };
        frame.configVersion = *rc::gen::arbitrary<uint64_t>();
        frame.configEpoch = *rc::gen::arbitrary<uint64_t>();
        frame.configDigest = *rc::gen::arbitrary<uint64_t>();
        frame.offset = *rc::gen::arbitrary<uint64_t>();
        frame.window = *rc::gen::arbitrary<uint32_t>();
        frame.trafficClass = static_cast<TrafficClass>(*rc::gen::inRange<int>(0, trafficClassCount));
        frame.flags = *rc::gen::arbitrary<uint8_t>();
        frame.reason = static_cast<Reason>(*rc::gen::inRange<int>(0, reasonNames.size()));
        frame.deadline = Milliseconds(*rc::gen::inRange<int>(0, 1000000));
        frame.retryAfter = Milliseconds(*rc::gen::inRange<int>(0, 1000000));
        frame.load = { 3, 4, *rc::gen::arbitrary<uint16_t>(), *rc::gen::arbitrary<uint32_t>() };
        frame.replyAddress = *rc::gen::arbitrary<std::string>();
        frame.key = *rc::gen::arbitrary<std::string>();
        frame.payload = *rc::gen::arbitrary<std::string>();
        return frame;
    }

    RC_GTEST_PROP(Frame, EveryFieldSurvivesARoundTrip, ())
    {
        const Frame frame = arbitraryFrame();
        const Result<Frame> decoded = decodeFrame(encodeFrame(frame));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded.value() == frame);
    }

    RC_GTEST_PROP(Frame, ArbitraryBytesAreRejectedOrDecodedWithoutACrash, (const std::string& bytes))
    {
        const Result<Frame> decoded = decodeFrame(bytes);
        if (decoded.has_error())
            RC_ASSERT(decoded.error().kind == ErrorKind::InvalidFrame);
    }

    RC_GTEST_PROP(Frame, DamagedFramesNeverCrashTheDecoder, ())
    {
        std::string bytes = encodeFrame(arbitraryFrame());
        const size_t position = *rc::gen::inRange<size_t>(0, bytes.size());
        bytes[position] = *rc::gen::arbitrary<char>();
        bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
        const Result<Frame> decoded = decodeFrame(bytes);
        RC_SUCCEED_IF(decoded.has_error());
    }

    TEST(Frame, PayloadOverTheLimitIsRejected)
    {
        Frame frame;
        frame.kind = FrameKind::Data;
        frame.payload.assign(maxPayloadBytes + 1, 'x');
        EXPECT_TRUE(decodeFrame(encodeFrame(frame)).has_error());
        frame.kind = FrameKind::Value;
        EXPECT_TRUE(decodeFrame(encodeFrame(frame)).has_value());
    }

} // namespace
} // namespace wasabicroft
