#pragma once

#include "core/result.h"

#include <event2/listener.h>
#include <string>

namespace foxtailtally {

/** Listens on @p address, "ip:port"; the caller frees the listener. */
Result<evconnlistener *> listenOn(event_base *base, const std::string &address,
                                  evconnlistener_cb onAccept, void *object);

} // namespace foxtailtally
