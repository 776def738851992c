#include "peers/http/json_splitter.h"

namespace foxtailtally {

namespace {

constexpr std::string_view kSpace = " \t\r\n";
constexpr std::string_view kScalarEnd = ",]} \t\r\n";

} // namespace

JsonSplitter::JsonSplitter(std::string_view text)
    : text(text)
{
    this->skipSpace();
    if (this->skip('{'))
        this->closing = '}';
    else if (this->skip('['))
        this->closing = ']';
}

bool JsonSplitter::next()
{
    if (this->closing == 0 || this->complete)
        return false;
    this->skipSpace();
    if (this->skip(this->closing)) {
        this->skipSpace();
        this->complete = this->position == this->text.size();
        this->position = this->text.size();
        return false;
    }
    if (!this->isFirst && !this->skip(','))
        return false;
    this->isFirst = false;
    this->skipSpace();
    if (this->isObject()) {
        if (!this->skipString(this->currentName))
            return false;
        this->skipSpace();
        if (!this->skip(':'))
            return false;
        this->skipSpace();
    }
    const std::size_t begin = this->position;
    if (!this->skipValue())
        return false;
    this->currentValue = this->text.substr(begin, this->position - begin);
    return true;
}

void JsonSplitter::skipSpace()
{
    while (this->position < this->text.size()
           && kSpace.find(this->text[this->position]) != std::string_view::npos)
        ++this->position;
}

bool JsonSplitter::skip(char expected)
{
    if (this->position >= this->text.size() || this->text[this->position] != expected)
        return false;
    ++this->position;
    return true;
}

bool JsonSplitter::skipString(std::string_view &content)
{
    if (!this->skip('"'))
        return false;
    const std::size_t begin = this->position;
    for (; this->position < this->text.size(); ++this->position) {
        const char c = this->text[this->position];
        if (c == '"') {
            content = this->text.substr(begin, this->position - begin);
            ++this->position;
            return true;
        }
        this->position += c == '\\' ? 1 : 0;
    }
    return false;
}

bool JsonSplitter::skipValue()
{
    if (this->position >= this->text.size())
        return false;
    std::string_view content;
    switch (this->text[this->position]) {
    case '"':
        return this->skipString(content);
    case '{':
    case '[':
        return this->skipContainer();
    default:
        return this->skipScalar();
    }
}

bool JsonSplitter::skipContainer()
{
    std::size_t depth = 0;
    std::string_view content;
    while (this->position < this->text.size()) {
        const char c = this->text[this->position];
        if (c == '"') {
            if (!this->skipString(content))
                return false;
            continue;
        }
        ++this->position;
        if (c == '{' || c == '[')
            ++depth;
        else if ((c == '}' || c == ']') && --depth == 0)
            return true;
    }
    return false;
}

bool JsonSplitter::skipScalar()
{
    const std::size_t begin = this->position;
    while (this->position < this->text.size()
           && kScalarEnd.find(this->text[this->position]) == std::string_view::npos)
        ++this->position;
    return this->position > begin;
}

} // namespace foxtailtally
