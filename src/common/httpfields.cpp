#include "common/httpfields.h"

#include <algorithm>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <charconv>
#include <optional>

namespace cranberry {

namespace {

std::string percentDecoded(const std::string &text)
{
    std::string out;
    for (size_t i = 0; i < text.size(); ++i) {
        unsigned int code = 0;
        const bool escaped = text[i] == '%' && i + 2 < text.size();
        if (escaped && std::from_chars(&text[i + 1], &text[i + 1] + 2, code, 16).ptr == &text[i + 1] + 2) {
            out += static_cast<char>(code);
            i += 2;
        } else {
            out += text[i] == '+' ? ' ' : text[i];
        }
    }
    return out;
}

/// Returns the codings that all `Transfer-Encoding` lines name, in order; nothing without such a line. Empty
/// elements of a list name none (RFC 9110, 5.6.1).
std::optional<std::vector<std::string>> transferCodings(const HttpHeaders &headers)
{
    std::optional<std::vector<std::string>> out;
    for (const HttpHeader &header : headers) {
        if (!boost::algorithm::iequals(header.name, "Transfer-Encoding"))
            continue;
        if (!out)
            out.emplace();
        std::vector<std::string> elements;
        boost::algorithm::split(elements, header.value, boost::algorithm::is_any_of(","));
        for (std::string &element : elements) {
            boost::algorithm::trim_if(element, boost::algorithm::is_any_of(" \t"));
            if (!element.empty())
                out->push_back(std::move(element));
        }
    }
    return out;
}

bool hasHeader(const HttpHeaders &headers, const std::string &name)
{
    return std::any_of(headers.begin(), headers.end(), [&name](const HttpHeader &header) {
        return boost::algorithm::iequals(header.name, name);
    });
}

bool isChunked(const std::string &coding)
{
    return boost::algorithm::iequals(coding, "chunked");
}

} // namespace

std::string headerOf(const HttpHeaders &headers, const std::string &name)
{
    for (const HttpHeader &header : headers) {
        if (boost::algorithm::iequals(header.name, name))
            return header.value;
    }
    return {};
}

TransferCoding transferCodingOf(const HttpHeaders &headers)
{
    const std::optional<std::vector<std::string>> codings = transferCodings(headers);
    if (!codings)
        return TransferCoding::None;
    return codings->size() == 1 && isChunked(codings->front()) ? TransferCoding::Chunked
                                                               : TransferCoding::Unsupported;
}

RequestFraming requestFramingOf(const HttpHeaders &headers, bool isHttp10)
{
    const bool hasLength = hasHeader(headers, "Content-Length");
    const TransferCoding coding = transferCodingOf(headers);
    if (coding == TransferCoding::None)
        return hasLength ? RequestFraming::Length : RequestFraming::None;
    // Beside a length, another server on the way may have taken the length for the end.
    if (coding == TransferCoding::Unsupported || hasLength || isHttp10)
        return RequestFraming::Unsupported;
    return RequestFraming::Chunks;
}

bool isFramed(const HttpHeaders &headers)
{
    if (!headerOf(headers, "Content-Length").empty())
        return true;
    const std::optional<std::vector<std::string>> codings = transferCodings(headers);
    return codings && !codings->empty() && isChunked(codings->back());
}

bool endsWithConnection(const std::string &method, int status, const HttpHeaders &headers)
{
    constexpr int NoContent = 204;
    constexpr int NotModified = 304;
    const bool hasBody = method != "HEAD" && status != NoContent && status != NotModified;
    return hasBody && !isFramed(headers);
}

bool hasFoldedLine(std::string_view lines)
{
    return lines.find("\r\n ") != std::string_view::npos || lines.find("\r\n\t") != std::string_view::npos;
}

ResponseKind responseKindOf(int status, const HttpHeaders &headers)
{
    constexpr int MinStatus = 100;
    constexpr int SwitchingProtocols = 101; // Nobody here asks for another protocol.
    constexpr int MinFinalStatus = 200;
    constexpr int MaxStatus = 599;
    if (status < MinStatus || status > MaxStatus || status == SwitchingProtocols)
        return ResponseKind::Malformed;
    if (status < MinFinalStatus)
        return ResponseKind::Interim;
    const bool isUndone = transferCodingOf(headers) != TransferCoding::Unsupported;
    return isUndone ? ResponseKind::Final : ResponseKind::Malformed;
}

HttpTarget parseTarget(const std::string &target)
{
    HttpTarget out;
    const size_t question = target.find('?');
    out.path = target.substr(0, question);
    size_t start = question;
    while (start != std::string::npos) {
        const size_t end = target.find('&', start + 1);
        const std::string field = target.substr(start + 1, end == std::string::npos ? end : end - start - 1);
        const size_t equals = field.find('=');
        const std::string value = equals == std::string::npos ? "" : field.substr(equals + 1);
        out.query.push_back({percentDecoded(field.substr(0, equals)), percentDecoded(value)});
        start = end;
    }
    return out;
}

} // namespace cranberry
