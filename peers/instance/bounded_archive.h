#pragma once

#include <absl/time/time.h>
#include <bit>
#include <cereal/cereal.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <cstddef>
#include <cstring>
#include <span>
#include <stdexcept>
#include <string>
#include <type_traits>

namespace foxtailtally {

static_assert(std::endian::native == std::endian::little, "the wire format is little-endian");

/** Thrown only while a message is decoded; unpackMessage() converts it to an error code. */
class ArchiveError : public std::runtime_error
{
public:
    enum class Kind { Truncated, TooLarge };

    explicit ArchiveError(Kind kind)
        : std::runtime_error("archive")
        , errorKind(kind)
    { }
    Kind kind() const { return this->errorKind; }

private:
    Kind errorKind;
};

/** Writes values in little-endian binary form. */
class BinaryWriter : public cereal::OutputArchive<BinaryWriter, cereal::AllowEmptyClassElision>
{
public:
    BinaryWriter()
        : cereal::OutputArchive<BinaryWriter, cereal::AllowEmptyClassElision>(this)
    { }

    void saveBinary(const void *data, std::size_t size)
    {
        this->bytes.append(static_cast<const char *>(data), size);
    }
    std::string takeBytes() { return std::move(this->bytes); }

private:
    std::string bytes;
};

/**
 * Reads what BinaryWriter wrote. Unlike cereal's own binary archive it checks every length against
 * the remaining bytes, so that a malformed message cannot cause a large allocation.
 */
class BoundedReader : public cereal::InputArchive<BoundedReader, cereal::AllowEmptyClassElision>
{
public:
    explicit BoundedReader(std::span<const char> bytes)
        : cereal::InputArchive<BoundedReader, cereal::AllowEmptyClassElision>(this)
        , bytes(bytes)
    { }

    void loadBinary(void *data, std::size_t size)
    {
        if (size > this->bytes.size())
            throw ArchiveError(ArchiveError::Kind::Truncated);
        std::memcpy(data, this->bytes.data(), size);
        this->bytes = this->bytes.subspan(size);
    }
    std::size_t remaining() const { return this->bytes.size(); }

private:
    std::span<const char> bytes;
};

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(BinaryWriter &archive, const T &value)
{
    archive.saveBinary(&value, sizeof value);
}

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedReader &archive, T &value)
{
    archive.loadBinary(&value, sizeof value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BinaryWriter &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedReader &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

// Element counts are 32 bits wide on the wire.
template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(BinaryWriter &archive, const cereal::SizeTag<T> &size)
{
    archive(static_cast<std::uint32_t>(size.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedReader &archive, cereal::SizeTag<T> &size)
{
    std::uint32_t count = 0;
    archive(count);
    // Every element takes at least one byte.
    if (count > archive.remaining())
        throw ArchiveError(ArchiveError::Kind::TooLarge);
    size.size = count;
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(BinaryWriter &archive, const cereal::BinaryData<T> &data)
{
    archive.saveBinary(data.data, static_cast<std::size_t>(data.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedReader &archive, cereal::BinaryData<T> &data)
{
    archive.loadBinary(data.data, static_cast<std::size_t>(data.size));
}

} // namespace foxtailtally

CEREAL_REGISTER_ARCHIVE(foxtailtally::BinaryWriter)
CEREAL_REGISTER_ARCHIVE(foxtailtally::BoundedReader)
CEREAL_SETUP_ARCHIVE_TRAITS(foxtailtally::BoundedReader, foxtailtally::BinaryWriter)

namespace absl {

// Durations are serialized as whole microseconds.
template <typename Archive>
std::int64_t CEREAL_SAVE_MINIMAL_FUNCTION_NAME(const Archive & /*archive*/,
                                               const Duration &duration)
{
    return ToInt64Microseconds(duration);
}

template <typename Archive>
void CEREAL_LOAD_MINIMAL_FUNCTION_NAME(const Archive & /*archive*/, Duration &duration,
                                       const std::int64_t &microseconds)
{
    duration = Microseconds(microseconds);
}

} // namespace absl
