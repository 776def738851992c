#include "main/gateway/listener.h"

#include "core/error.h"
#include "core/socket_address.h"

#include <cerrno>

namespace foxtailtally {

namespace {

/** Connections that wait to be accepted; beyond them, SYN packets are dropped and sent again by the
 * client only after a second. */
constexpr int kBacklog = 1024;

/** Close-on-exec: child processes must not hold the sockets open. */
constexpr unsigned kOptions = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC;

} // namespace

Result<evconnlistener *> listenOn(event_base *base, const std::string &address,
                                  evconnlistener_cb onAccept, void *object)
{
    sockaddr_in bound {};
    if (!parseAddress(address, bound))
        return Error::SettingsInvalid;
    evconnlistener *listener =
        evconnlistener_new_bind(base, onAccept, object, kOptions, kBacklog,
                                reinterpret_cast<sockaddr *>(&bound), sizeof bound);
    if (!listener)
        return std::error_code(errno, std::generic_category());
    return listener;
}

} // namespace foxtailtally
