#pragma once

#include "peers/http/http_head.h"

#include <string>
#include <string_view>

namespace foxtailtally {

/** Puts headers together from the pieces in which a parser hands them out. */
class HeaderCollector
{
public:
    explicit HeaderCollector(HttpHeaders &headers)
        : headers(headers)
    { }

    void onName(std::string_view piece)
    {
        if (this->hasValue)
            this->finish();
        this->name.append(piece);
    }
    void onValue(std::string_view piece)
    {
        this->value.append(piece);
        this->hasValue = true;
    }
    /** The head is complete. */
    void finish()
    {
        if (!this->name.empty())
            this->headers.add(this->name, this->value);
        this->clear();
    }
    void clear()
    {
        this->name.clear();
        this->value.clear();
        this->hasValue = false;
    }

private:
    HttpHeaders &headers;
    std::string name;
    std::string value;
    bool hasValue = false;
};

} // namespace foxtailtally
