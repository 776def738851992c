#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** One self-contained HTML page: no scripts and no references to other files. */
class HtmlPage
{
public:
    explicit HtmlPage(std::string title);

    HtmlPage &addParagraph(std::string_view text);
    HtmlPage &addHeading(std::string_view text);
    /** Adds @p markup without escaping, for example a chart. */
    HtmlPage &addMarkup(std::string_view markup);
    /** Columns after the first are right-aligned, as for numbers. */
    HtmlPage &addTable(const std::vector<std::string> &header,
                       const std::vector<std::vector<std::string>> &rows);

    std::string text() const;

private:
    std::string title;
    std::string body;
};

} // namespace foxtailtally
