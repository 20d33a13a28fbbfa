#pragma once

#include "common/httpfields.h"
#include "common/types.h"

#include <memory>

namespace cranberry {

/// A stretch of a prompt that may stand in an engine's cache. Equal ids mean equal text.
struct PromptPart {
    std::string id;
    uint64_t tokens = 0;
};

/// One try of a caller, as read from its connection; never changed afterwards.
struct CallerRequest {
    std::string id;
    std::string method;
    std::string target; ///< Path and query, as received.
    std::string path;
    std::string host;
    HttpHeaders forwarded; ///< Headers that go on to the endpoint as they are.
    std::string body;
    std::string key; ///< Empty: none was sent.
    std::optional<DurationMs> deadline; ///< How long the caller waits, from its sending.
    bool statesTokens = false;
    uint64_t promptTokens = 0;
    uint64_t outputTokens = 0; ///< At most.
    std::vector<PromptPart> parts; ///< The last one belongs to this request or its session alone.
    std::optional<uint64_t> resumeAfter; ///< The last event of a broken stream that the caller has.
};

using CallerRequestPtr = std::shared_ptr<const CallerRequest>;

} // namespace cranberry
