#pragma once

#include "common/body.h"
#include "common/types.h"

#include <string>
#include <string_view>
#include <vector>

namespace cranberry {

struct HttpHeader {
    std::string name;
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// Returns the value of the first header with this name (compared case-insensitively), or an empty string.
std::string headerOf(const HttpHeaders &headers, const std::string &name);

/// What all `Transfer-Encoding` lines of a message together name.
enum class TransferCoding : uint8_t {
    None,
    Chunked, ///< "chunked" alone, without parameters.
    Unsupported ///< Any other: it is not undone here, so the body would not be the sender's.
};

TransferCoding transferCodingOf(const HttpHeaders &headers);

/// What follows the head of a request.
enum class RequestFraming : uint8_t {
    None, ///< The next request.
    Length, ///< A body of the stated length.
    Chunks,
    Unsupported ///< Where the request ends can't be told, so nothing behind its head may be read as a
                ///< request.
};

/// Decides by the head alone (RFC 9112, 6.1 and 6.3). `isHttp10`: the request has version HTTP/1.0, whose
/// senders know no transfer coding.
RequestFraming requestFramingOf(const HttpHeaders &headers, bool isHttp10);

/// Returns whether the headers of a message state its length, or that it comes in chunks. A message without
/// either ends with its connection.
bool isFramed(const HttpHeaders &headers);
/// Returns whether a response has a body that ends with its connection. The end of such a body can't be told
/// from a cut.
bool endsWithConnection(const std::string &method, int status, const HttpHeaders &headers);

/// What the head of a received response is.
enum class ResponseKind : uint8_t {
    Final,
    Interim, ///< Another response to the same request follows.
    Malformed ///< Not to be believed: the call has failed.
};

/// Returns whether a line of a head begins with a blank: parsers take it for a part of the line before it, so
/// that the value there isn't the sender's (RFC 9112, 5.2). `lines`: whole lines, as received.
bool hasFoldedLine(std::string_view lines);

/// Decides by status and transfer codings (RFC 9110, 15.; RFC 9112, 6.1); folded lines are asked for apart.
ResponseKind responseKindOf(int status, const HttpHeaders &headers);

struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers;
    Body body;
};

/// A parsed request target: the path as received and the percent-decoded query fields.
struct HttpTarget {
    std::string path;
    HttpHeaders query;
};

HttpTarget parseTarget(const std::string &target);

} // namespace cranberry
