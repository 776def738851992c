#pragma once

#include <cstddef>
#include <string_view>

namespace foxtailtally {

/**
 * Finds the members of a JSON object, or the elements of an array, without parsing them: a value
 * that cannot be parsed does not affect its neighbours. Values are split at balanced brackets and
 * quotes and are not checked further.
 */
class JsonSplitter
{
public:
    /** @p text must outlive the splitter. */
    explicit JsonSplitter(std::string_view text);

    bool isObject() const { return this->closing == '}'; }
    bool isArray() const { return this->closing == ']'; }
    /** Moves to the next value; false at the end, and at text that cannot be split. */
    bool next();
    /** Name of the current member, as it is written between the quotes. */
    std::string_view name() const { return this->currentName; }
    /** Text of the current value. */
    std::string_view value() const { return this->currentValue; }
    /** True when next() has reached the end of the object or array, and nothing follows it. */
    bool isComplete() const { return this->complete; }

private:
    void skipSpace();
    /** Moves past @p expected if it comes next. */
    bool skip(char expected);
    /** Moves past a string, and returns it without its quotes. */
    bool skipString(std::string_view &content);
    bool skipValue();
    bool skipContainer();
    bool skipScalar();

    std::string_view text;
    std::size_t position = 0;
    /** Closing bracket of the object or array; zero when the text is neither. */
    char closing = 0;
    bool isFirst = true;
    bool complete = false;
    std::string_view currentName;
    std::string_view currentValue;
};

} // namespace foxtailtally
