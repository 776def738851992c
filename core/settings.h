#pragma once

#include "core/result.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

enum class SettingKind {
    Text,     ///< any text
    List,     ///< texts separated by commas
    Duration, ///< number with ms, s, min or h
    Bytes,    ///< number with B, KiB or MiB
    Count,    ///< whole number
    Ratio,    ///< decimal number
    Flag,     ///< true or false
};

/** Declares one key of the settings file. Bounds are in seconds, bytes or plain numbers. */
struct SettingSpec
{
    std::string_view section;
    std::string_view key;
    SettingKind kind = SettingKind::Text;
    /** Default value; unused and empty if isRequired is set. */
    std::string_view defaultText;
    double minimum = 0;
    double maximum = 0;
    bool isRequired = false;
    std::string_view help;
};

/** One problem in a settings file, with all that is needed to fix it. */
struct SettingsProblem
{
    enum class Kind {
        Unreadable,
        Syntax,
        LineTooLong,
        UnknownKey,
        Missing,
        BadValue,
        BadUnit,
        OutOfRange
    };

    Kind kind = Kind::Syntax;
    std::string file;
    std::string section;
    std::string key;
    std::string allowed;

    std::string describe() const;
};

/** Values of a settings file that has been checked as a whole against a schema. */
class Settings
{
public:
    /** Reads @p file; appends every problem found to @p problems and fails if there is any. */
    static Result<Settings> load(const std::string &file, const std::vector<SettingSpec> &schema,
                                 std::vector<SettingsProblem> &problems);
    /** Same for text in memory; @p name replaces the file name in problems. */
    static Result<Settings> parse(const std::string &text, const std::string &name,
                                  const std::vector<SettingSpec> &schema,
                                  std::vector<SettingsProblem> &problems);

    const std::string &text(std::string_view section, std::string_view key) const;
    std::vector<std::string> list(std::string_view section, std::string_view key) const;
    absl::Duration duration(std::string_view section, std::string_view key) const;
    std::int64_t count(std::string_view section, std::string_view key) const;
    std::int64_t bytes(std::string_view section, std::string_view key) const;
    double ratio(std::string_view section, std::string_view key) const;
    bool flag(std::string_view section, std::string_view key) const;

private:
    struct Value
    {
        std::string text;
        double number = 0;
    };

    const Value &value(std::string_view section, std::string_view key) const;

    absl::flat_hash_map<std::string, Value> values;
};

/** Allowed values of @p spec as text, such as "1 s to 60 s". */
std::string allowedValues(const SettingSpec &spec);

} // namespace foxtailtally
