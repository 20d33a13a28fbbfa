#include "io/socketoptions.h"

#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cranberry {

namespace {

constexpr int KeepAliveIdleSeconds = 2; ///< Longer than any pause of a healthy stream.
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
/// Equals idle time + interval * probes: a user time-out also ends keep-alive, whatever the number of probes.
constexpr int UserTimeoutMs = 1000 * (KeepAliveIdleSeconds + KeepAliveIntervalSeconds * KeepAliveProbes);

void set(int socket, int level, int name, int value)
{
    // Errors are ignored: without an option the socket works, but a dead connection is detected later.
    static_cast<void>(::setsockopt(socket, level, name, &value, sizeof value));
}

} // namespace

void setSocketOptions(int socket)
{
    set(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    set(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set(socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    set(socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    set(socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
    set(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMs);
}

bool isReusable(int socket)
{
    char byte = 0;
    const ssize_t size = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace cranberry
