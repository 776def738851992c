#include "peers/instance/envelope.h"

#include <sodium.h>

namespace foxtailtally {

namespace {

constexpr std::size_t kTagBytes = 16;
constexpr std::size_t kMinimumBytes = kTagBytes + 1;

} // namespace

InstanceKey::InstanceKey(std::string_view secret)
{
    crypto_generichash(this->key.data(), this->key.size(),
                       reinterpret_cast<const unsigned char *>(secret.data()), secret.size(),
                       nullptr, 0);
}

std::array<unsigned char, 16> InstanceKey::tag(std::string_view data) const
{
    std::array<unsigned char, kTagBytes> result {};
    crypto_generichash(result.data(), result.size(),
                       reinterpret_cast<const unsigned char *>(data.data()), data.size(),
                       this->key.data(), this->key.size());
    return result;
}

bool InstanceKey::verify(std::string_view data, std::span<const unsigned char, 16> expected) const
{
    const std::array<unsigned char, kTagBytes> actual = this->tag(data);
    return sodium_memcmp(actual.data(), expected.data(), actual.size()) == 0;
}

std::string packEnvelope(const Envelope &envelope, const InstanceKey &key)
{
    BinaryWriter writer;
    writer(kWireVersion, static_cast<std::uint8_t>(envelope.kind), envelope.sender.str(),
           envelope.incarnation, envelope.correlation, envelope.payload);
    std::string bytes = writer.takeBytes();
    const auto tag = key.tag(bytes);
    bytes.append(reinterpret_cast<const char *>(tag.data()), tag.size());
    return bytes;
}

Result<Envelope> unpackEnvelope(std::string_view bytes, const InstanceKey &key)
{
    if (bytes.size() < kMinimumBytes)
        return Error::MessageTruncated;
    if (bytes.size() > kMaxFrameBytes)
        return Error::MessageTooLarge;
    const std::string_view signedPart = bytes.substr(0, bytes.size() - kTagBytes);
    const std::string_view tag = bytes.substr(signedPart.size());
    const auto *tagBytes = reinterpret_cast<const unsigned char *>(tag.data());
    if (!key.verify(signedPart, std::span<const unsigned char, kTagBytes>(tagBytes, kTagBytes)))
        return Error::MessageTagInvalid;
    try {
        BoundedReader reader(std::span<const char>(signedPart.data(), signedPart.size()));
        std::uint8_t version = 0;
        reader(version);
        if (version != kWireVersion)
            return Error::MessageVersionUnknown;
        std::uint8_t kind = 0;
        std::string sender;
        Envelope envelope;
        reader(kind, sender, envelope.incarnation, envelope.correlation, envelope.payload);
        if (reader.remaining() != 0)
            return Error::MessageMalformed;
        envelope.kind = static_cast<MessageKind>(kind);
        envelope.sender = InstanceId(std::move(sender));
        return envelope;
    } catch (const ArchiveError &error) {
        return error.kind() == ArchiveError::Kind::Truncated ? Error::MessageTruncated
                                                             : Error::MessageTooLarge;
    }
}

} // namespace foxtailtally
