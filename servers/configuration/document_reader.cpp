#include "servers/configuration/document_reader.h"

#include <algorithm>
#include <limits>

namespace foxtailtally {

namespace {

constexpr std::size_t kMaxIdLength = 128;
constexpr std::size_t kMaxTextLength = 256;
/** Milliseconds from 1970 to the year 9999. */
constexpr std::uint64_t kMaxUnixMillis = 253402300799999ULL;

constexpr std::string_view kIdRule = "1 to 128 letters, digits, '.', '_' or '-'";

} // namespace

DocumentReader::DocumentReader(const nlohmann::json &value, std::string path,
                               DocumentProblems &problems)
    : value(value)
    , path(std::move(path))
    , problems(problems)
{
    if (!value.is_object())
        this->problems.push_back({DocumentProblem::Kind::WrongType, this->path, "an object"});
}

std::string DocumentReader::id(std::string_view name)
{
    const nlohmann::json *found = this->member(name);
    if (found == nullptr)
        return {};
    if (!found->is_string() || !isIdentifier(found->get_ref<const std::string &>())) {
        this->report(DocumentProblem::Kind::BadFormat, name, kIdRule);
        return {};
    }
    return found->get<std::string>();
}

std::string DocumentReader::text(std::string_view name, std::size_t minimum)
{
    const nlohmann::json *found = this->member(name);
    if (found == nullptr)
        return {};
    if (!found->is_string()) {
        this->report(DocumentProblem::Kind::WrongType, name, "a text");
        return {};
    }
    auto text = found->get<std::string>();
    if (text.size() < minimum || text.size() > kMaxTextLength)
        this->report(DocumentProblem::Kind::OutOfRange, name, "at most 256 bytes, not empty");
    return text;
}

std::vector<std::string> DocumentReader::ids(std::string_view name)
{
    return this->strings(name, true);
}

std::vector<std::string> DocumentReader::texts(std::string_view name)
{
    return this->strings(name, false);
}

std::uint64_t DocumentReader::integer(std::string_view name, std::uint64_t minimum,
                                      std::uint64_t maximum)
{
    const nlohmann::json *found = this->member(name);
    if (found == nullptr)
        return 0;
    if (!found->is_number_integer()) {
        this->report(DocumentProblem::Kind::WrongType, name, "a whole number");
        return 0;
    }
    const bool isNegative = !found->is_number_unsigned() && found->get<std::int64_t>() < 0;
    const std::uint64_t number = isNegative ? 0 : found->get<std::uint64_t>();
    if (isNegative || number < minimum || number > maximum)
        this->report(DocumentProblem::Kind::OutOfRange, name,
                     std::to_string(minimum) + " to " + std::to_string(maximum));
    return number;
}

bool DocumentReader::flag(std::string_view name)
{
    const nlohmann::json *found = this->member(name);
    if (found == nullptr)
        return false;
    if (!found->is_boolean()) {
        this->report(DocumentProblem::Kind::WrongType, name, "true or false");
        return false;
    }
    return found->get<bool>();
}

absl::Time DocumentReader::time(std::string_view name)
{
    return absl::FromUnixMillis(static_cast<std::int64_t>(this->integer(name, 0, kMaxUnixMillis)));
}

bool DocumentReader::has(std::string_view name) const
{
    return this->value.is_object() && this->value.contains(std::string(name));
}

void DocumentReader::object(std::string_view name, const std::function<void(DocumentReader &)> &use)
{
    const nlohmann::json *found = this->member(name);
    if (found == nullptr)
        return;
    DocumentReader reader(*found, this->path + "/" + std::string(name), this->problems);
    use(reader);
}

void DocumentReader::objects(std::string_view name,
                             const std::function<void(DocumentReader &)> &use)
{
    const nlohmann::json *found = this->array(name);
    if (found == nullptr)
        return;
    for (std::size_t index = 0; index < found->size(); ++index) {
        DocumentReader reader((*found)[index],
                              this->path + "/" + std::string(name) + "/" + std::to_string(index),
                              this->problems);
        use(reader);
    }
}

void DocumentReader::report(DocumentProblem::Kind kind, std::string_view name,
                            std::string_view allowed)
{
    this->problems.push_back({kind, this->path + "/" + std::string(name), std::string(allowed)});
}

void DocumentReader::rejectUnknownMembers()
{
    if (!this->value.is_object())
        return;
    for (const auto &item : this->value.items())
        if (std::find(this->requestedMembers.begin(), this->requestedMembers.end(), item.key())
            == this->requestedMembers.end())
            this->report(DocumentProblem::Kind::UnknownMember, item.key(), "");
}

const nlohmann::json *DocumentReader::member(std::string_view name)
{
    this->requestedMembers.emplace_back(name);
    if (!this->value.is_object())
        return nullptr;
    const auto found = this->value.find(std::string(name));
    if (found != this->value.end())
        return &*found;
    this->report(DocumentProblem::Kind::Missing, name, "");
    return nullptr;
}

const nlohmann::json *DocumentReader::array(std::string_view name)
{
    const nlohmann::json *found = this->member(name);
    if (found == nullptr || found->is_array())
        return found;
    this->report(DocumentProblem::Kind::WrongType, name, "an array");
    return nullptr;
}

std::vector<std::string> DocumentReader::strings(std::string_view name, bool identifiers)
{
    std::vector<std::string> values;
    const nlohmann::json *found = this->array(name);
    if (found == nullptr)
        return values;
    for (std::size_t index = 0; index < found->size(); ++index) {
        const nlohmann::json &item = (*found)[index];
        const std::string place = std::string(name) + "/" + std::to_string(index);
        if (!item.is_string()) {
            this->report(DocumentProblem::Kind::WrongType, place, "a text");
            continue;
        }
        values.push_back(item.get<std::string>());
        if (identifiers && !isIdentifier(values.back()))
            this->report(DocumentProblem::Kind::BadFormat, place, kIdRule);
    }
    return values;
}

Result<nlohmann::json> parseJson(std::string_view text, DocumentProblems &problems)
{
    nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_discarded())
        return value;
    problems.push_back({DocumentProblem::Kind::Syntax, "", "JSON"});
    return Error::DocumentInvalid;
}

bool isIdentifier(std::string_view text)
{
    constexpr std::string_view kAllowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !text.empty() && text.size() <= kMaxIdLength
        && text.find_first_not_of(kAllowed) == std::string_view::npos;
}

std::string canonicalText(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::uint64_t unixMillis(absl::Time time)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, absl::ToUnixMillis(time)));
}

} // namespace foxtailtally
