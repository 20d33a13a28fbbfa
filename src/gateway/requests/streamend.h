#pragma once

#include "gateway/gatewayevents.h"

#include <cstdint>

namespace cranberry {

/// How the bytes of one attempt's event stream ended.
enum class StreamEnd : uint8_t {
    Stated, ///< By the last chunk or the length: the endpoint says that the stream is complete.
    Closed, ///< After a complete event, by a close of the connection that is the response's only end.
    Broken ///< Inside an event, before the end that the framing asks for, or by a reset.
};

/// What is known of a generation that its engine was asked to stop, from the replies without a handle. A
/// reply with a handle says that it is in its engine's memory, and it is continued from there.
enum class StopState : uint8_t {
    NotAsked, ///< Or it had ended by itself.
    Unknown ///< The reply did not come, or does not tell.
};

/// What the end of an attempt's event stream says about the stream.
enum class EndVerdict : uint8_t {
    Complete,
    AskProcess, ///< Complete unless the endpoint's process has exited.
    AwaitMove, ///< The reply to the open move tells.
    Interrupted
};

/// A generation that was asked to stop closes its stream without an end, on another connection than the
/// reply: until the reply says that it had ended by itself, no end is its own.
EndVerdict verdictOf(StreamEnd end, StopState stop, bool isMoveOpen);

/// Returns what is known after a further reply without a handle. An engine that knows no such
/// generation may have stopped it for an earlier request.
StopState stopAfterReply(StopState before, const GenerationMigrated &reply);

const char *toText(StreamEnd end);

} // namespace cranberry
