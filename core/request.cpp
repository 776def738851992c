#include "core/request.h"

namespace foxtailtally {

std::string_view requestClassName(RequestClass requestClass)
{
    switch (requestClass) {
    case RequestClass::Urgent:
        return "urgent";
    case RequestClass::Normal:
        return "normal";
    case RequestClass::Batch:
        return "batch";
    }
    return "unknown";
}

} // namespace foxtailtally
