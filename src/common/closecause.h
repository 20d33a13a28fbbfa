#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace cranberry {

/// Why a client's connection closed. `toText` names each.
enum class CloseCause : uint8_t {
    NoRequest, ///< No request was being served.
    ClientClosed, ///< The client closed the connection, or its sending side.
    ClientReset, ///< The connection broke, or the client reset it.
    WriteTimedOut, ///< The client read nothing for the write timeout.
    GaveWay, ///< The byte budget was used up, and this response made no progress.
    UnsentBytes, ///< Too much of the response was unread.
    NoRoomAhead, ///< The client sent bytes ahead for which there was no room.
    MadeRoom, ///< A new connection took its place.
    Aborted, ///< The server's handler aborted it.
    Count
};

constexpr std::array<const char *, static_cast<size_t>(CloseCause::Count)> CloseCauseNames
    = {"no_request",   "client_closed", "client_reset", "write_timed_out", "gave_way",
       "unsent_bytes", "no_room_ahead", "made_room",    "aborted"};

constexpr const char *toText(CloseCause cause)
{
    return CloseCauseNames[static_cast<size_t>(cause)];
}

constexpr bool isByClient(CloseCause cause)
{
    return cause == CloseCause::ClientClosed || cause == CloseCause::ClientReset;
}

} // namespace cranberry
