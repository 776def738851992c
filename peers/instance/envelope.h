#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "peers/instance/bounded_archive.h"
#include "peers/instance/messages.h"

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace foxtailtally {

/** Version of the wire format; messages of another version are dropped. */
constexpr std::uint8_t kWireVersion = 1;
/** Size limit of a datagram between instances, below the usual path MTU. */
constexpr std::size_t kMaxDatagramBytes = 1400;
/** Size limit of a TCP frame; a document body of 1 MB fits. */
constexpr std::size_t kMaxFrameBytes = std::size_t {2} << 20;

/** A packed message with its kind, sender and correlation number. */
struct Envelope
{
    MessageKind kind = MessageKind::Gossip;
    InstanceId sender;
    Incarnation incarnation = 0;
    /** Matches a reply to its request; 0 for messages that expect no reply. */
    std::uint64_t correlation = 0;
    std::string payload;
};

/** Key shared by all instances of a deployment. */
class InstanceKey
{
public:
    /** Derives the key from the secret text of the settings. */
    explicit InstanceKey(std::string_view secret);

    std::array<unsigned char, 16> tag(std::string_view data) const;
    bool verify(std::string_view data, std::span<const unsigned char, 16> expected) const;

private:
    std::array<unsigned char, 32> key {};
};

/** Packs @p envelope and appends the authentication tag. */
std::string packEnvelope(const Envelope &envelope, const InstanceKey &key);

/**
 * Checks the tag before anything else is parsed. Errors: MessageTruncated, MessageTagInvalid,
 * MessageVersionUnknown, MessageTooLarge, MessageMalformed.
 */
Result<Envelope> unpackEnvelope(std::string_view bytes, const InstanceKey &key);

template <typename Message>
std::string packMessage(const Message &message)
{
    BinaryWriter writer;
    writer(message);
    return writer.takeBytes();
}

/** Errors: MessageTruncated, MessageTooLarge, MessageMalformed (trailing bytes). */
template <typename Message>
Result<Message> unpackMessage(std::string_view payload)
{
    Message message;
    try {
        BoundedReader reader(std::span<const char>(payload.data(), payload.size()));
        reader(message);
        if (reader.remaining() != 0)
            return Error::MessageMalformed;
    } catch (const ArchiveError &error) {
        return error.kind() == ArchiveError::Kind::Truncated ? Error::MessageTruncated
                                                             : Error::MessageTooLarge;
    }
    return message;
}

} // namespace foxtailtally
