#include "servers/claims/claim_segment.h"

#include "core/text.h"

#include <absl/strings/escaping.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

/** Room for the members around the records, with numbers of 20 digits. */
constexpr std::size_t kEnvelopeBytes = 128;
/** JSON escapes can make an answer longer; one that grows beyond this is not kept. */
constexpr std::size_t kMaxEncodedAnswerBytes = 2 * kMaxKeptAnswerBytes;

using Json = nlohmann::json;

std::string encodeDigest(const Fingerprint &digest)
{
    std::string text;
    absl::Base64Escape(
        absl::string_view(reinterpret_cast<const char *>(digest.data()), digest.size()), &text);
    return text;
}

bool decodeDigest(const Json &value, Fingerprint &digest)
{
    std::string bytes;
    if (!value.is_string() || !absl::Base64Unescape(value.get_ref<const std::string &>(), &bytes)
        || bytes.size() != digest.size())
        return false;
    std::copy(bytes.begin(), bytes.end(), digest.begin());
    return true;
}

std::string dump(const Json &value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/** Drops an answer that is too long or would not be read back byte by byte. */
void limitAnswer(ClaimRecord &record)
{
    if (record.kind != ClaimRecord::Kind::Done || !record.isAnswerKept)
        return;
    bool isKept = record.answer.size() <= kMaxKeptAnswerBytes;
    if (isKept) {
        const std::string text = dump(record.answer);
        isKept = text.size() <= kMaxEncodedAnswerBytes && Json::parse(text) == record.answer;
    }
    if (isKept)
        return;
    record.answer.clear();
    record.isAnswerKept = false;
}

std::string encode(const ClaimRecord &record)
{
    Json value = {std::string(1, static_cast<char>(record.kind)), record.fence,
                  absl::ToUnixMillis(record.at)};
    if (record.kind == ClaimRecord::Kind::Claimed) {
        value.push_back(encodeDigest(record.key));
        value.push_back(encodeDigest(record.body));
        value.push_back(record.attempt);
        value.push_back(absl::ToUnixMillis(record.deadline));
        value.push_back(record.checksFence ? 1 : 0);
    }
    if (record.kind == ClaimRecord::Kind::Done && record.isAnswerKept)
        value.push_back(record.answer);
    return dump(value);
}

bool decode(const Json &value, ClaimRecord &record)
{
    constexpr std::size_t kClaimLength = 8;
    constexpr std::size_t kShortLength = 3;
    if (!value.is_array() || value.size() < kShortLength || !value[0].is_string()
        || !value[1].is_number_unsigned() || !value[2].is_number_integer())
        return false;
    const std::string kind = value[0].get<std::string>();
    if (kind.size() != 1 || std::string_view("cdun").find(kind) == std::string_view::npos)
        return false;
    record.kind = static_cast<ClaimRecord::Kind>(kind.front());
    record.fence = value[1].get<std::uint64_t>();
    record.at = absl::FromUnixMillis(value[2].get<std::int64_t>());
    if (record.kind == ClaimRecord::Kind::Claimed) {
        if (value.size() != kClaimLength || !decodeDigest(value[3], record.key)
            || !decodeDigest(value[4], record.body) || !value[5].is_number_unsigned()
            || !value[6].is_number_integer() || !value[7].is_number_unsigned())
            return false;
        record.attempt = value[5].get<std::uint64_t>();
        record.deadline = absl::FromUnixMillis(value[6].get<std::int64_t>());
        record.checksFence = value[7].get<unsigned>() != 0;
        return true;
    }
    if (record.kind == ClaimRecord::Kind::Done && value.size() > kShortLength) {
        if (!value[3].is_string())
            return false;
        record.answer = value[3].get<std::string>();
        record.isAnswerKept = true;
    }
    return true;
}

} // namespace

ClaimSegment::ClaimSegment(std::uint64_t number, std::uint64_t firstFence)
    : segmentNumber(number)
    , firstFence(firstFence)
    , fence(firstFence)
{ }

Result<ClaimSegment> ClaimSegment::parse(std::string_view text)
{
    const Json value = Json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("number") || !value["number"].is_number_unsigned()
        || !value.contains("fence") || !value["fence"].is_number_unsigned()
        || !value.contains("sealed") || !value["sealed"].is_boolean() || !value.contains("records")
        || !value["records"].is_array())
        return Error::DocumentInvalid;
    ClaimSegment segment(value["number"].get<std::uint64_t>(), value["fence"].get<std::uint64_t>());
    for (const Json &item : value["records"]) {
        ClaimRecord record;
        if (!decode(item, record) || !segment.tryAppend(std::move(record)))
            return Error::DocumentInvalid;
    }
    segment.sealed = value["sealed"].get<bool>();
    return segment;
}

std::string ClaimSegment::serialize() const
{
    std::string text = R"({"number":)" + std::to_string(this->segmentNumber) + R"(,"fence":)"
        + std::to_string(this->firstFence) + R"(,"sealed":)" + (this->sealed ? "true" : "false")
        + R"(,"records":[)";
    text.append(this->encoded).append("]}");
    return text;
}

bool ClaimSegment::tryAppend(ClaimRecord record)
{
    if (this->sealed)
        return false;
    const bool isClaim = record.kind == ClaimRecord::Kind::Claimed;
    if (isClaim && record.fence < this->fence)
        return false;
    limitAnswer(record);
    const std::string text = encode(record);
    if (this->encoded.size() + text.size() + 1 + kEnvelopeBytes > kMaxSegmentBytes)
        return false;
    if (!this->encoded.empty())
        this->encoded.push_back(',');
    this->encoded.append(text);
    if (isClaim)
        this->fence = record.fence + 1;
    this->newest = std::max(this->newest, record.at);
    this->entries.push_back(std::move(record));
    return true;
}

} // namespace foxtailtally
