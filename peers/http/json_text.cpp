#include "peers/http/json_text.h"

#include <algorithm>

namespace foxtailtally {

std::size_t jsonDepth(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '"') {
            isInString = !isInString;
        } else if (isInString) {
            i += c == '\\' ? 1 : 0;
        } else if (c == '{' || c == '[') {
            deepest = std::max(deepest, ++depth);
        } else if ((c == '}' || c == ']') && depth > 0) {
            --depth;
        }
    }
    return deepest;
}

nlohmann::json parseJson(std::string_view text)
{
    if (jsonDepth(text) > kMaxJsonDepth)
        return nlohmann::json(nlohmann::json::value_t::discarded);
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace foxtailtally
