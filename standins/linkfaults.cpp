// Preloaded into one daemon: its connections to a range of ports fail as a file says, those of others do not.
//
// LINK_FAULT_PORTS is "first-last". The file LINK_FAULT_FILE holds one word: "refused" (open connections are
// reset, new ones refused), "hanging" (open ones carry nothing, new ones get no answer), "old_live_on" (new
// ones are refused); with anything else the links are sound.

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <dlfcn.h>
#include <fcntl.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace {

enum class LinkState : uint8_t { Sound, Refused, Hanging, OldLiveOn };

/// What is known of a descriptor.
enum class Tracked : uint8_t {
    No,
    Open, ///< Connected to one of the ports.
    BytesLost ///< Bytes that it sent while the link hung are gone, so it can't go on.
};

constexpr size_t MaxDescriptors = 4096;
std::array<std::atomic<Tracked>, MaxDescriptors> tracked;

template <typename Function>
Function real(const char *name)
{
    return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

LinkState linkState()
{
    const char *path = ::getenv("LINK_FAULT_FILE");
    std::FILE *file = path ? std::fopen(path, "r") : nullptr;
    if (!file)
        return LinkState::Sound;
    std::array<char, 16> word{};
    const size_t size = std::fread(word.data(), 1, word.size() - 1, file);
    std::fclose(file);
    const std::string text(word.data(), size);
    return text.starts_with("refused") ? LinkState::Refused
        : text.starts_with("hanging")  ? LinkState::Hanging
        : text.starts_with("old")      ? LinkState::OldLiveOn
                                       : LinkState::Sound;
}

bool isOnFaultyLink(const sockaddr *address)
{
    const char *range = ::getenv("LINK_FAULT_PORTS");
    if (!range || address->sa_family != AF_INET)
        return false;
    char *rest = nullptr;
    const long first = std::strtol(range, &rest, 10);
    const long last = *rest == '-' ? std::strtol(rest + 1, nullptr, 10) : first;
    const long port = ntohs(reinterpret_cast<const sockaddr_in *>(address)->sin_port);
    return port >= first && port <= last;
}

// A listener whose queue is full: the kernel drops further connection requests.
sockaddr_in unansweredAddress()
{
    static const sockaddr_in address = [] {
        sockaddr_in out{};
        out.sin_family = AF_INET;
        out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        socklen_t size = sizeof out;
        if (::bind(listener, reinterpret_cast<const sockaddr *>(&out), size) != 0
            || ::listen(listener, 0) != 0)
            std::abort();
        ::getsockname(listener, reinterpret_cast<sockaddr *>(&out), &size);
        for (int i = 0; i < 2; ++i) {
            const int filler = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            real<decltype(&::connect)>("connect")(filler, reinterpret_cast<const sockaddr *>(&out), size);
        }
        return out;
    }();
    return address;
}

Tracked stateOf(int descriptor)
{
    const size_t index = static_cast<size_t>(descriptor);
    return index < MaxDescriptors ? tracked[index].load() : Tracked::No;
}

void track(int descriptor, Tracked state)
{
    const size_t index = static_cast<size_t>(descriptor);
    if (index < MaxDescriptors)
        tracked[index] = state;
}

/// Returns 0 if a call on the descriptor may go on, else the error that it fails with.
int errorOf(int descriptor, bool isSend)
{
    if (stateOf(descriptor) == Tracked::No)
        return 0;
    const LinkState state = linkState();
    if (state == LinkState::Refused)
        return ECONNRESET;
    if (state != LinkState::Hanging)
        return stateOf(descriptor) == Tracked::BytesLost ? ECONNRESET : 0;
    if (isSend)
        track(descriptor, Tracked::BytesLost);
    return EAGAIN;
}

ssize_t failed(int error)
{
    errno = error;
    return -1;
}

size_t sizeOf(const msghdr *message)
{
    size_t size = 0;
    for (size_t i = 0; i < message->msg_iovlen; ++i)
        size += message->msg_iov[i].iov_len;
    return size;
}

} // namespace

extern "C" {

int connect(int descriptor, const sockaddr *address, socklen_t size)
{
    const decltype(&::connect) next = real<decltype(&::connect)>("connect");
    if (!isOnFaultyLink(address))
        return next(descriptor, address, size);
    const LinkState state = linkState();
    if (state == LinkState::Refused || state == LinkState::OldLiveOn)
        return static_cast<int>(failed(ECONNREFUSED));
    if (state == LinkState::Hanging) {
        const sockaddr_in unanswered = unansweredAddress();
        return next(descriptor, reinterpret_cast<const sockaddr *>(&unanswered), sizeof unanswered);
    }
    track(descriptor, Tracked::Open);
    return next(descriptor, address, size);
}

int close(int descriptor)
{
    track(descriptor, Tracked::No);
    return real<decltype(&::close)>("close")(descriptor);
}

ssize_t recv(int descriptor, void *buffer, size_t size, int flags)
{
    const int error = errorOf(descriptor, false);
    return error ? failed(error) : real<decltype(&::recv)>("recv")(descriptor, buffer, size, flags);
}

ssize_t recvmsg(int descriptor, msghdr *message, int flags)
{
    const int error = errorOf(descriptor, false);
    return error ? failed(error) : real<decltype(&::recvmsg)>("recvmsg")(descriptor, message, flags);
}

ssize_t send(int descriptor, const void *buffer, size_t size, int flags)
{
    const int error = errorOf(descriptor, true);
    return error == EAGAIN ? static_cast<ssize_t>(size)
        : error            ? failed(error)
                           : real<decltype(&::send)>("send")(descriptor, buffer, size, flags);
}

ssize_t sendmsg(int descriptor, const msghdr *message, int flags)
{
    const int error = errorOf(descriptor, true);
    return error == EAGAIN ? static_cast<ssize_t>(sizeOf(message))
        : error            ? failed(error)
                           : real<decltype(&::sendmsg)>("sendmsg")(descriptor, message, flags);
}

} // extern "C"
