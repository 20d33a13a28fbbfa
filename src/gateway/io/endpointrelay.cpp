#include "gateway/io/endpointrelay.h"

#include "gateway/io/clocksource.h"

#include <array>
#include <boost/algorithm/string/predicate.hpp>

namespace cranberry {

namespace {

constexpr const char *RelayPrefix = "Cranberry-Relay-";
constexpr const char *EndpointHeader = "Cranberry-Relay-Endpoint";
constexpr const char *MethodHeader = "Cranberry-Relay-Method";
constexpr const char *FreshHeader = "Cranberry-Relay-Fresh";
constexpr const char *OutcomeHeader = "Cranberry-Relay-Outcome";
constexpr std::array OutcomeNames = {"reached", "unreached", "exited", "unavailable"};

/// Requests that are carried for other daemons at the same time. Each takes two descriptors.
constexpr size_t MaxOpenCalls = 500;
constexpr DurationMs EndpointConnectTimeout{350};
/// The other daemon ends a request by closing its connection; this is only a backstop.
constexpr DurationMs RelayBackstop{3'600'000};
/// An asking daemon that reads nothing while this many bytes wait is considered gone.
constexpr size_t MaxUnsentBytes = 4U << 20;
constexpr uint32_t MaxRelayHeaderBytes = 8U << 10; ///< For the headers that daemons add.
constexpr int ServiceUnavailable = 503;

bool isRelayHeader(const HttpHeader &header)
{
    return boost::algorithm::istarts_with(header.name, RelayPrefix);
}

bool isHopByHop(const HttpHeader &header)
{
    constexpr std::array Names = {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length"};
    return std::any_of(Names.begin(), Names.end(),
                       [&header](const char *name) { return boost::algorithm::iequals(header.name, name); });
}

HttpHeader outcomeHeader(RelayOutcome outcome)
{
    return {OutcomeHeader, OutcomeNames.at(static_cast<size_t>(outcome))};
}

void respond(const HttpExchangePtr &exchange, RelayOutcome outcome)
{
    exchange->respond(ServiceUnavailable, {outcomeHeader(outcome)}, "");
}

} // namespace

void addRelayHeaders(HttpRequest &request, const EndpointId &endpoint, bool freshConnection)
{
    std::erase_if(request.headers, isRelayHeader);
    request.headers.push_back({EndpointHeader, endpoint.value});
    request.headers.push_back({MethodHeader, request.method});
    if (freshConnection)
        request.headers.push_back({FreshHeader, "1"});
    request.method = "POST"; // Responses to other methods may have no body on the wire.
}

std::optional<RelayOutcome> relayOutcomeOf(const HttpHeaders &headers)
{
    const std::string text = headerOf(headers, OutcomeHeader);
    const auto found = std::find(OutcomeNames.begin(), OutcomeNames.end(), text);
    if (found == OutcomeNames.end())
        return std::nullopt;
    return static_cast<RelayOutcome>(found - OutcomeNames.begin());
}

HttpHeaders withoutRelayHeaders(const HttpHeaders &headers)
{
    HttpHeaders out = headers;
    std::erase_if(out, isRelayHeader);
    return out;
}

RelayFailure relayFailureOf(HttpFailure failure, const std::optional<RelayOutcome> &outcome)
{
    if (!outcome)
        return mayHaveArrived(failure) ? RelayFailure::None : RelayFailure::Unavailable;
    switch (*outcome) {
    case RelayOutcome::Reached:
        return RelayFailure::None;
    case RelayOutcome::EndpointUnreached:
    case RelayOutcome::EndpointExited:
        return RelayFailure::EndpointUnreached;
    case RelayOutcome::Unavailable:
        return RelayFailure::Unavailable;
    }
    return RelayFailure::None;
}

HttpServerLimits EndpointRelay::limitsFor(const CallerLimits &limits)
{
    HttpServerLimits out;
    out.maxHeaderBytes = limits.maxHeaderBytes + MaxRelayHeaderBytes;
    out.maxBodyBytes = limits.maxBodyBytes;
    return out;
}

void EndpointRelay::onRequest(const HttpExchangePtr &exchange)
{
    const HttpRequest &request = exchange->request();
    const EndpointId endpoint{headerOf(request.headers, EndpointHeader)};
    const std::string method = headerOf(request.headers, MethodHeader);
    const std::optional<Address> target = gateway_.relayTarget(endpoint, steadyNow());
    if (!target || method.empty() || openCalls_ >= MaxOpenCalls)
        return respond(exchange, RelayOutcome::Unavailable);
    const bool isProbe = !headerOf(request.headers, FreshHeader).empty();
    HttpCall call;
    call.address = *target;
    call.request = request;
    call.request.method = method;
    std::erase_if(call.request.headers,
                  [](const HttpHeader &header) { return isRelayHeader(header) || isHopByHop(header); });
    call.connectTimeout = EndpointConnectTimeout;
    call.progressTimeout = RelayBackstop;
    call.freshConnection = isProbe;
    HttpCallbacks callbacks;
    callbacks.onConnected = [this, endpoint] {
        gateway_.onEndpointConnected({endpoint}, steadyNow());
        runActions_();
    };
    callbacks.onHead = [exchange](int status, const HttpHeaders &headers) {
        HttpHeaders out = headers;
        std::erase_if(out,
                      [](const HttpHeader &header) { return isRelayHeader(header) || isHopByHop(header); });
        out.push_back(outcomeHeader(RelayOutcome::Reached));
        exchange->beginStream(status, out);
    };
    const std::shared_ptr<uint64_t> number = std::make_shared<uint64_t>(0);
    const std::shared_ptr<bool> isOver = std::make_shared<bool>(false);
    callbacks.onData = [exchange](const char *data, size_t size) {
        exchange->write(std::string(data, size));
        if (exchange->pendingBytes() > MaxUnsentBytes)
            exchange->abort();
    };
    callbacks.onDone = [this, exchange, endpoint, isProbe, isOver](HttpFailure failure) {
        *isOver = true;
        --openCalls_;
        exchange->onClosed(nullptr);
        finish(exchange, endpoint, isProbe, failure);
    };
    exchange->onClosed([this, number, isOver] {
        if (std::exchange(*isOver, true))
            return;
        --openCalls_;
        endpoints_.cancel(*number);
    });
    ++openCalls_;
    gateway_.counters().add(GatewayCount::RelayedForPeers);
    *number = endpoints_.start(std::move(call), std::move(callbacks));
}

void EndpointRelay::finish(const HttpExchangePtr &exchange, const EndpointId &endpoint, bool isProbe,
                           HttpFailure failure)
{
    switch (failure) {
    case HttpFailure::None:
        return exchange->finish();
    case HttpFailure::Refused:
    case HttpFailure::NotSent:
        gateway_.onEndpointConnected(
            {endpoint, failure == HttpFailure::Refused ? ConnectFailure::Refused : ConnectFailure::TimedOut},
            steadyNow());
        runActions_();
        if (isProbe && failure == HttpFailure::Refused)
            return confirmRefusal(exchange, endpoint);
        return respond(exchange, RelayOutcome::EndpointUnreached);
    case HttpFailure::Interrupted:
    case HttpFailure::ProgressTimeout:
        return exchange->abort(); // The endpoint may have run the request.
    }
}

// This daemon may be cut off as well. Only a connection to another endpoint shows that it is not.
void EndpointRelay::confirmRefusal(const HttpExchangePtr &exchange, const EndpointId &endpoint)
{
    const std::optional<ProbePath> control = gateway_.controlProbe(endpoint, steadyNow());
    if (!control)
        return respond(exchange, RelayOutcome::EndpointExited);
    endpoints_.connect(control->address, control->timeout,
                       [this, exchange, id = control->endpoint](HttpFailure failure) {
                           const ConnectFailure connect = failure == HttpFailure::None ? ConnectFailure::None
                               : failure == HttpFailure::Refused ? ConnectFailure::Refused
                                                                 : ConnectFailure::TimedOut;
                           gateway_.onEndpointConnected({id, connect, true}, steadyNow());
                           runActions_();
                           respond(exchange,
                                   connect == ConnectFailure::None ? RelayOutcome::EndpointExited
                                                                   : RelayOutcome::EndpointUnreached);
                       });
}

} // namespace cranberry
