#pragma once

#include "common/types.h"

#include <string>
#include <vector>

namespace cranberry {

struct HttpHeader {
    std::string name;
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// The value of a header (name compared without case), or an empty string.
std::string headerOf(const HttpHeaders &headers, const std::string &name);

struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers;
    std::string body;
};

/// A target taken apart: the path and the decoded query fields.
struct HttpTarget {
    std::string path;
    HttpHeaders query;
};

HttpTarget parseTarget(const std::string &target);

} // namespace cranberry
