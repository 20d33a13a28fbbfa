#pragma once

#include "common/httpfields.h"
#include "common/types.h"

#include <memory>

namespace cranberry {

/// A part of a prompt that an engine may have cached. Equal ids mean equal text.
struct PromptPart {
    std::string id;
    uint64_t tokens = 0;
};

/// One request as received from a caller; immutable. A caller's retry is a separate CallerRequest.
struct CallerRequest {
    std::string id;
    std::string method;
    std::string target; ///< Path and query, as received.
    std::string path;
    std::string host;
    HttpHeaders forwarded; ///< Headers that are forwarded to the endpoint unchanged.
    Body body;
    std::string key; ///< Empty: no key was sent.
    std::optional<DurationMs> deadline; ///< How long the caller waits from the time it sent the request.
    bool statesTokens = false;
    uint64_t promptTokens = 0;
    uint64_t outputTokens = 0; ///< Maximum number of generated tokens.
    std::vector<PromptPart> parts; ///< The last part is used by this request or its session only.
    std::optional<uint64_t>
        resumeAfter; ///< The last event that the caller received of an interrupted stream.
    /// Id of the request that brought the first event of the stream that this one resumes, as the caller
    /// states it; empty: not stated.
    std::string resumes;
};

using CallerRequestPtr = std::shared_ptr<const CallerRequest>;

} // namespace cranberry
