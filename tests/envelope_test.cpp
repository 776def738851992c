#include "peers/instance/envelope.h"
#include "peers/instance/membership_wire.h"
#include "servers/quota/quota_messages.h"
#include "servers/shares/loan_messages.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace foxtailtally {

namespace {

Envelope sampleEnvelope()
{
    ReserveRequestMessage message;
    message.group = GroupId("g1");
    message.profile.id = RequestId("r1");
    message.profile.prefixBlocks = {1, 2, 3};
    message.remaining = absl::Milliseconds(1500);
    return {MessageKind::ReserveRequest, InstanceId("a"), 7, 42, packMessage(message)};
}

} // namespace

TEST(EnvelopeTest, KeepsMessageAndSender)
{
    const InstanceKey key("secret");
    const auto envelope = unpackEnvelope(packEnvelope(sampleEnvelope(), key), key);
    ASSERT_TRUE(envelope.ok());
    EXPECT_EQ(envelope->sender, InstanceId("a"));
    EXPECT_EQ(envelope->incarnation, 7U);
    const auto message = unpackMessage<ReserveRequestMessage>(envelope->payload);
    ASSERT_TRUE(message.ok());
    EXPECT_EQ(message->profile.prefixBlocks.size(), 3U);
    EXPECT_EQ(message->remaining, absl::Milliseconds(1500));
}

// Guards against a forged or damaged datagram being accepted or ending the process.
TEST(EnvelopeTest, RejectsEveryChangedByteAndEveryTruncation)
{
    const InstanceKey key("secret");
    const std::string bytes = packEnvelope(sampleEnvelope(), key);
    EXPECT_EQ(unpackEnvelope(bytes, InstanceKey("other")).error(), Error::MessageTagInvalid);
    EXPECT_TRUE(rc::check("damaged envelopes", [&] {
        std::string damaged = bytes;
        const auto at = *rc::gen::inRange<std::size_t>(0, damaged.size());
        const auto flip = *rc::gen::inRange(1, 256);
        damaged[at] = static_cast<char>(damaged[at] ^ flip);
        RC_ASSERT(!unpackEnvelope(damaged, key).ok());
        const auto length = *rc::gen::inRange<std::size_t>(0, bytes.size());
        RC_ASSERT(!unpackEnvelope(bytes.substr(0, length), key).ok());
    }));
}

// Guards against a payload from a faulty instance (valid tag, wrong content) that makes the reader
// allocate without bound or throw.
TEST(EnvelopeTest, ArbitraryPayloadsGiveTypedErrorsOrValues)
{
    EXPECT_TRUE(rc::check("arbitrary payloads", [](const std::string &payload) {
        (void)unpackMessage<ReserveRequestMessage>(payload);
        (void)unpackMessage<ReserveReplyMessage>(payload);
        (void)unpackMessage<PermitReportMessage>(payload);
        (void)unpackMessage<MembershipDatagram>(payload);
        (void)unpackMessage<LoanOffer>(payload);
        (void)unpackMessage<LoanRequest>(payload);
        (void)unpackMessage<QuotaRequest>(payload);
        (void)unpackMessage<QuotaGrant>(payload);
    }));
    const std::string hugeCount("\xff\xff\xff\x7f", 4);
    EXPECT_EQ(unpackMessage<PermitReportMessage>(hugeCount).error(), Error::MessageTooLarge);
}

} // namespace foxtailtally
