#pragma once

#include <absl/container/flat_hash_set.h>
#include <curl/curl.h>
#include <netinet/in.h>
#include <pthread.h>

namespace foxtailtally {

/** Addresses of the two ends of a TCP connection. */
struct ConnectionAddresses
{
    sockaddr_in local {};
    sockaddr_in remote {};
};

/**
 * Sockets of the connections of libcurl handles. libcurl does not tell which socket a transfer uses
 * before the transfer has ended, and then the socket may be closed.
 */
class ConnectionSockets
{
public:
    ConnectionSockets() = default;
    ~ConnectionSockets();
    ConnectionSockets(const ConnectionSockets &) = delete;
    ConnectionSockets &operator=(const ConnectionSockets &) = delete;

    /** Records the connections that @p handle opens; they must be closed before this object ends.
     */
    void record(CURL *handle);
    /** A new descriptor of the socket between @p addresses, for the caller to close; negative if no
     * such connection is open. */
    int duplicate(const ConnectionAddresses &addresses) const;

private:
    static curl_socket_t onOpen(void *context, curlsocktype purpose, curl_sockaddr *address);
    static int onClose(void *context, curl_socket_t socket);

    mutable pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
    absl::flat_hash_set<int> sockets;
};

} // namespace foxtailtally
