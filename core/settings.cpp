#include "core/settings.h"

#include "core/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <fstream>
#include <ini.h>
#include <sstream>
#include <utility>

namespace foxtailtally {

namespace {

struct Unit
{
    std::string_view name;
    double factor;
};

constexpr Unit kDurationUnits[] = {{"ms", 1e-3}, {"s", 1}, {"min", 60}, {"h", 3600}};
constexpr Unit kByteUnits[] = {{"B", 1}, {"KiB", 1024}, {"MiB", 1024.0 * 1024.0}};

std::string joinKey(std::string_view section, std::string_view key)
{
    return absl::StrCat(asAbsl(section), ".", asAbsl(key));
}

const SettingSpec *findSpec(const std::vector<SettingSpec> &schema, std::string_view section,
                            std::string_view key)
{
    for (const SettingSpec &spec : schema) {
        if (spec.section == section && spec.key == key)
            return &spec;
    }
    return nullptr;
}

template <std::size_t N>
bool parseWithUnit(std::string_view text, const Unit (&units)[N], double &number)
{
    const std::size_t split = text.find_first_not_of("0123456789.");
    if (split == std::string_view::npos || split == 0)
        return false;
    const std::string_view unitName = asStd(absl::StripAsciiWhitespace(asAbsl(text.substr(split))));
    for (const Unit &unit : units) {
        if (unit.name != unitName)
            continue;
        if (!absl::SimpleAtod(asAbsl(text.substr(0, split)), &number))
            return false;
        number *= unit.factor;
        return true;
    }
    return false;
}

using ProblemKind = SettingsProblem::Kind;

/** Parses @p text according to @p spec; on failure returns false and sets @p problem. */
bool parseValue(const SettingSpec &spec, std::string_view text, double &number,
                ProblemKind &problem)
{
    problem = ProblemKind::BadValue;
    switch (spec.kind) {
    case SettingKind::Text:
    case SettingKind::List:
        return true;
    case SettingKind::Flag:
        number = text == "true" ? 1 : 0;
        return text == "true" || text == "false";
    case SettingKind::Duration:
        problem = ProblemKind::BadUnit;
        if (!parseWithUnit(text, kDurationUnits, number))
            return false;
        break;
    case SettingKind::Bytes:
        problem = ProblemKind::BadUnit;
        if (!parseWithUnit(text, kByteUnits, number))
            return false;
        break;
    case SettingKind::Count: {
        std::int64_t whole = 0;
        if (!absl::SimpleAtoi(asAbsl(text), &whole))
            return false;
        number = static_cast<double>(whole);
        break;
    }
    case SettingKind::Ratio:
        if (!absl::SimpleAtod(asAbsl(text), &number))
            return false;
        break;
    }
    problem = ProblemKind::OutOfRange;
    return number >= spec.minimum && number <= spec.maximum;
}

/** inih silently splits longer lines, which would change a value. */
constexpr std::size_t kMaxLineBytes = 198;

/** Number of the first line that is too long for the parser, or 0. */
int firstLongLine(const std::string &text)
{
    int number = 0;
    for (absl::string_view line : absl::StrSplit(text, '\n')) {
        number += 1;
        if (line.size() > kMaxLineBytes)
            return number;
    }
    return 0;
}

struct RawEntry
{
    std::string section;
    std::string key;
    std::string text;
};

int collectEntry(void *user, const char *section, const char *key, const char *text)
{
    auto &entries = *static_cast<std::vector<RawEntry> *>(user);
    entries.push_back({section, key, text});
    return 1;
}

std::string formatNumber(const SettingSpec &spec, double number)
{
    switch (spec.kind) {
    case SettingKind::Duration:
        return number < 1 ? absl::StrCat(number * 1000, " ms") : absl::StrCat(number, " s");
    case SettingKind::Bytes:
        return absl::StrCat(static_cast<std::int64_t>(number), " B");
    default:
        return absl::StrCat(number);
    }
}

} // namespace

std::string allowedValues(const SettingSpec &spec)
{
    switch (spec.kind) {
    case SettingKind::Text:
        return "text";
    case SettingKind::List:
        return "texts separated by commas";
    case SettingKind::Flag:
        return "true or false";
    default:
        return absl::StrCat(formatNumber(spec, spec.minimum), " to ",
                            formatNumber(spec, spec.maximum));
    }
}

std::string SettingsProblem::describe() const
{
    std::string where = this->section.empty()
        ? this->file
        : absl::StrCat(this->file, ": [", this->section, "] ", this->key);
    switch (this->kind) {
    case Kind::Unreadable:
        return absl::StrCat(where, ": cannot be read");
    case Kind::Syntax:
        return absl::StrCat(where, ": not in INI syntax, line ", this->allowed);
    case Kind::LineTooLong:
        return absl::StrCat(where, ": line ", this->allowed, " is longer than ", kMaxLineBytes,
                            " bytes; lists may continue on indented lines");
    case Kind::UnknownKey:
        return absl::StrCat(where, ": unknown key");
    case Kind::Missing:
        return absl::StrCat(where, ": missing, needs ", this->allowed);
    case Kind::BadValue:
        return absl::StrCat(where, ": bad value, allowed: ", this->allowed);
    case Kind::BadUnit:
        return absl::StrCat(where, ": number or unit missing or unknown, allowed: ", this->allowed);
    case Kind::OutOfRange:
        return absl::StrCat(where, ": out of range, allowed: ", this->allowed);
    }
    return where;
}

Result<Settings> Settings::load(const std::string &file, const std::vector<SettingSpec> &schema,
                                std::vector<SettingsProblem> &problems)
{
    std::ifstream stream(file);
    if (!stream) {
        problems.push_back({ProblemKind::Unreadable, file, "", "", ""});
        return Error::SettingsUnreadable;
    }
    std::stringstream buffer;
    buffer << stream.rdbuf();
    return parse(buffer.str(), file, schema, problems);
}

Result<Settings> Settings::parse(const std::string &text, const std::string &name,
                                 const std::vector<SettingSpec> &schema,
                                 std::vector<SettingsProblem> &problems)
{
    const std::size_t problemsBefore = problems.size();
    std::vector<RawEntry> entries;
    const int longLine = firstLongLine(text);
    if (longLine != 0)
        problems.push_back({ProblemKind::LineTooLong, name, "", "", absl::StrCat(longLine)});
    const int badLine = ini_parse_string(text.c_str(), collectEntry, &entries);
    if (badLine != 0)
        problems.push_back({ProblemKind::Syntax, name, "", "", absl::StrCat(badLine)});

    Settings settings;
    for (const RawEntry &entry : entries) {
        const SettingSpec *spec = findSpec(schema, entry.section, entry.key);
        if (spec == nullptr) {
            problems.push_back({ProblemKind::UnknownKey, name, entry.section, entry.key, ""});
            continue;
        }
        Value value {entry.text, 0};
        ProblemKind problem {};
        if (!parseValue(*spec, entry.text, value.number, problem)) {
            problems.push_back({problem, name, entry.section, entry.key, allowedValues(*spec)});
            continue;
        }
        Value &stored = settings.values[joinKey(entry.section, entry.key)];
        // Indented lines continue a list; the parser reports each with the same key.
        const bool continues = spec->kind == SettingKind::List && !stored.text.empty();
        stored.text = continues ? absl::StrCat(stored.text, ",", value.text) : value.text;
        stored.number = value.number;
    }
    for (const SettingSpec &spec : schema) {
        const std::string key = joinKey(spec.section, spec.key);
        if (settings.values.contains(key))
            continue;
        if (spec.isRequired) {
            problems.push_back({ProblemKind::Missing, name, std::string(spec.section),
                                std::string(spec.key), allowedValues(spec)});
            continue;
        }
        Value value {std::string(spec.defaultText), 0};
        ProblemKind problem {};
        parseValue(spec, spec.defaultText, value.number, problem);
        settings.values[key] = std::move(value);
    }
    if (problems.size() != problemsBefore)
        return Error::SettingsInvalid;
    return settings;
}

const Settings::Value &Settings::value(std::string_view section, std::string_view key) const
{
    static const Value empty;
    const auto found = this->values.find(joinKey(section, key));
    return found == this->values.end() ? empty : found->second;
}

const std::string &Settings::text(std::string_view section, std::string_view key) const
{
    return this->value(section, key).text;
}

std::vector<std::string> Settings::list(std::string_view section, std::string_view key) const
{
    std::vector<std::string> items;
    for (absl::string_view item :
         absl::StrSplit(this->text(section, key), ',', absl::SkipWhitespace()))
        items.emplace_back(absl::StripAsciiWhitespace(item));
    return items;
}

absl::Duration Settings::duration(std::string_view section, std::string_view key) const
{
    return absl::Seconds(this->value(section, key).number);
}

std::int64_t Settings::count(std::string_view section, std::string_view key) const
{
    return static_cast<std::int64_t>(this->value(section, key).number);
}

std::int64_t Settings::bytes(std::string_view section, std::string_view key) const
{
    return static_cast<std::int64_t>(this->value(section, key).number);
}

double Settings::ratio(std::string_view section, std::string_view key) const
{
    return this->value(section, key).number;
}

bool Settings::flag(std::string_view section, std::string_view key) const
{
    return this->value(section, key).number != 0;
}

} // namespace foxtailtally
