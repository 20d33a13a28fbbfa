#include "gateway/io/endpointrelay.h"

#include "gateway/io/clocksource.h"
#include "gateway/io/connectfailure.h"
#include "platform/requests.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>

namespace cranberry {

namespace {

constexpr const char *RelayPrefix = "Cranberry-Relay-";
constexpr const char *EndpointHeader = "Cranberry-Relay-Endpoint";
constexpr const char *MethodHeader = "Cranberry-Relay-Method";
constexpr const char *FreshHeader = "Cranberry-Relay-Fresh";
constexpr const char *OutcomeHeader = "Cranberry-Relay-Outcome";
/// The endpoint's response has neither a length nor chunks; the relay's has chunks.
constexpr const char *UnframedHeader = "Cranberry-Relay-Unframed";
constexpr std::array OutcomeNames = {"reached", "unreached", "exited", "unavailable"};

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

HttpHeaders forwardedHeaders(const HttpHeaders &headers)
{
    HttpHeaders out = headers;
    std::erase_if(out, [](const HttpHeader &header) { return isRelayHeader(header) || isHopByHop(header); });
    return out;
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
    const bool isUnframed = !headerOf(headers, UnframedHeader).empty();
    std::erase_if(out, [isUnframed](const HttpHeader &header) {
        return isRelayHeader(header) || (isUnframed && isHopByHop(header));
    });
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

void EndpointRelay::setMaxConnections(size_t connections)
{
    maxOpenCalls_ = std::min(MaxOpenCalls, connections - connections / 4);
}

std::optional<RelayOutcome> EndpointRelay::problemOf(const HttpRequest &request) const
{
    const EndpointId endpoint{headerOf(request.headers, EndpointHeader)};
    if (!gateway_.relayTarget(endpoint) || headerOf(request.headers, MethodHeader).empty()
        || openCalls_ >= maxOpenCalls_)
        return RelayOutcome::Unavailable;
    if (gateway_.wantsNothing(endpoint, steadyNow()))
        return RelayOutcome::EndpointUnreached;
    return std::nullopt;
}

HttpServerShare EndpointRelay::share(ByteBudgetPtr bytes)
{
    HttpServerShare out;
    out.bytes = std::move(bytes);
    out.checkHead = [this](const HttpRequest &head) { return onHead(head); };
    out.refusalHeaders = {outcomeHeader(RelayOutcome::Unavailable)};
    return out;
}

HeadVerdict EndpointRelay::onHead(const HttpRequest &head) const
{
    const std::optional<RelayOutcome> problem = problemOf(head);
    if (!problem)
        return {};
    return {[problem](const HttpExchangePtr &exchange) { respond(exchange, *problem); }, {}};
}

void EndpointRelay::onRequest(const HttpExchangePtr &exchange)
{
    const HttpRequest &request = exchange->request();
    if (const std::optional<RelayOutcome> problem = problemOf(request))
        return respond(exchange, *problem);
    const std::shared_ptr<Passed> passed = std::make_shared<Passed>();
    passed->exchange = exchange;
    passed->endpoint.value = headerOf(request.headers, EndpointHeader);
    passed->isProbe = !headerOf(request.headers, FreshHeader).empty();
    HttpCall call;
    call.address = *gateway_.relayTarget(passed->endpoint);
    call.request = request;
    call.request.method = headerOf(request.headers, MethodHeader);
    call.request.headers = forwardedHeaders(request.headers);
    call.connectTimeout = EndpointConnectTimeout;
    call.progressTimeout = RelayBackstop;
    call.freshConnection = passed->isProbe;
    exchange->onClosed([this, passed] {
        if (std::exchange(passed->isOver, true))
            return;
        --openCalls_;
        endpoints_.cancel(passed->call);
    });
    ++openCalls_;
    gateway_.counters().add(GatewayCount::RelayedForPeers);
    passed->call = endpoints_.start(std::move(call), callbacksFor(passed));
}

HttpCallbacks EndpointRelay::callbacksFor(const PassedPtr &passed)
{
    HttpCallbacks callbacks;
    callbacks.onConnected = [this, passed] {
        gateway_.onEndpointConnected({passed->endpoint}, steadyNow());
        runActions_();
    };
    callbacks.onHead = [this, passed](int status, const HttpHeaders &headers) {
        gateway_.onRelayedNotice(passed->endpoint, platform::decodeNotice(status, headers), steadyNow());
        HttpHeaders out = forwardedHeaders(headers);
        out.push_back(outcomeHeader(RelayOutcome::Reached));
        if (!isFramed(headers))
            out.push_back({UnframedHeader, "1"});
        passed->exchange->beginStream(status, out);
    };
    callbacks.onData = [passed](const char *data, size_t size) {
        passed->exchange->write(std::string(data, size));
        if (passed->exchange->pendingBytes() > MaxUnsentBytes)
            passed->exchange->abort();
    };
    callbacks.onDone = [this, passed](HttpFailure failure) {
        passed->isOver = true;
        --openCalls_;
        passed->exchange->onClosed(nullptr);
        finish(*passed, failure);
    };
    return callbacks;
}

void EndpointRelay::finish(const Passed &passed, HttpFailure failure)
{
    if (failure == HttpFailure::None)
        return passed.exchange->finish();
    if (mayHaveArrived(failure))
        return passed.exchange->abort();
    gateway_.onEndpointConnected({passed.endpoint, connectFailureOf(failure)}, steadyNow());
    runActions_();
    if (passed.isProbe && failure == HttpFailure::Refused)
        return confirmRefusal(passed);
    respond(passed.exchange, RelayOutcome::EndpointUnreached);
}

// This daemon may be cut off as well. Only a connection to another endpoint shows that it is not.
void EndpointRelay::confirmRefusal(const Passed &passed)
{
    const std::vector<ProbePath> controls = gateway_.controlProbes(passed.endpoint, steadyNow());
    if (controls.empty())
        return respond(passed.exchange, RelayOutcome::EndpointExited);
    const std::shared_ptr<size_t> pending = std::make_shared<size_t>(controls.size());
    for (const ProbePath &control : controls) {
        endpoints_.connect(
            control.address, control.timeout,
            [this, exchange = passed.exchange, id = control.endpoint, pending](HttpFailure failure) {
                gateway_.onEndpointConnected({id, connectFailureOf(failure)}, steadyNow());
                runActions_();
                if (*pending == 0)
                    return;
                --*pending;
                if (failure == HttpFailure::None) {
                    *pending = 0;
                    respond(exchange, RelayOutcome::EndpointExited);
                } else if (*pending == 0) {
                    respond(exchange, RelayOutcome::EndpointUnreached);
                }
            });
    }
}

} // namespace cranberry
