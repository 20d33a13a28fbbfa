#include "gateway/requests/streamend.h"

#include <array>

namespace cranberry {

namespace {

constexpr std::array EndNames = {"stated", "closed", "broken"};

} // namespace

EndVerdict verdictOf(StreamEnd end, StopState stop, bool isMoveOpen)
{
    if (isMoveOpen)
        return EndVerdict::AwaitMove;
    switch (end) {
    case StreamEnd::Stated:
        return EndVerdict::Complete;
    case StreamEnd::Closed:
        return stop == StopState::NotAsked ? EndVerdict::AskProcess : EndVerdict::Interrupted;
    case StreamEnd::Broken:
        break;
    }
    return EndVerdict::Interrupted;
}

StopState stopAfterReply(StopState before, const GenerationMigrated &reply)
{
    const bool isTold
        = reply.outcome == MigrationOutcome::NoSuchGeneration || reply.outcome == MigrationOutcome::Unreached;
    return isTold ? before : StopState::Unknown;
}

const char *toText(StreamEnd end)
{
    return EndNames.at(static_cast<size_t>(end));
}

} // namespace cranberry
