#include "peers/http/connection_sockets.h"

#include "core/lock.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtailtally {

namespace {

bool isSameAddress(const sockaddr_in &a, const sockaddr_in &b)
{
    return a.sin_port == b.sin_port && a.sin_addr.s_addr == b.sin_addr.s_addr;
}

bool connects(int socket, const ConnectionAddresses &addresses)
{
    sockaddr_in local {};
    sockaddr_in remote {};
    socklen_t localSize = sizeof local;
    socklen_t remoteSize = sizeof remote;
    return ::getsockname(socket, reinterpret_cast<sockaddr *>(&local), &localSize) == 0
        && ::getpeername(socket, reinterpret_cast<sockaddr *>(&remote), &remoteSize) == 0
        && isSameAddress(local, addresses.local) && isSameAddress(remote, addresses.remote);
}

} // namespace

ConnectionSockets::~ConnectionSockets()
{
    pthread_mutex_destroy(&this->mutex);
}

void ConnectionSockets::record(CURL *handle)
{
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, &ConnectionSockets::onOpen);
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &ConnectionSockets::onClose);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, this);
}

int ConnectionSockets::duplicate(const ConnectionAddresses &addresses) const
{
    const Lock lock(this->mutex);
    for (const int socket : this->sockets) {
        if (connects(socket, addresses))
            return ::fcntl(socket, F_DUPFD_CLOEXEC, 0);
    }
    return -1;
}

curl_socket_t ConnectionSockets::onOpen(void *context, curlsocktype, curl_sockaddr *address)
{
    const int socket =
        ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    if (socket < 0)
        return CURL_SOCKET_BAD;
    auto *self = static_cast<ConnectionSockets *>(context);
    const Lock lock(self->mutex);
    self->sockets.insert(socket);
    return socket;
}

int ConnectionSockets::onClose(void *context, curl_socket_t socket)
{
    auto *self = static_cast<ConnectionSockets *>(context);
    const Lock lock(self->mutex);
    self->sockets.erase(socket);
    return ::close(socket);
}

} // namespace foxtailtally
