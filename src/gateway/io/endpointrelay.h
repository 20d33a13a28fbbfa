#pragma once

#include "gateway/gateway.h"
#include "io/httpclient.h"
#include "io/httpserver.h"

namespace cranberry {

/// What a relay did with a request of another daemon, as its response states it.
enum class RelayOutcome : uint8_t {
    Reached, ///< The rest of the response is the endpoint's.
    EndpointUnreached, ///< Nothing was sent to the endpoint.
    EndpointExited, ///< The same: the endpoint refuses connections, and the relay reaches others.
    Unavailable ///< The relay did not accept the request.
};

/// Adds what the relay needs to know: the endpoint, the method, and whether a new connection is to be used.
/// Headers of the caller with these names are removed.
void addRelayHeaders(HttpRequest &request, const EndpointId &endpoint, bool freshConnection);
/// Returns nothing if the response is no relay's.
std::optional<RelayOutcome> relayOutcomeOf(const HttpHeaders &headers);
HttpHeaders withoutRelayHeaders(const HttpHeaders &headers);
/// Returns None if the request may have been sent to the endpoint.
RelayFailure relayFailureOf(HttpFailure failure, const std::optional<RelayOutcome> &outcome);

/// Passes requests of daemons that do not reach an endpoint on to it, and its responses back as they arrive.
///
/// The other daemon has admitted, limited and counted the request and decides on retries; this one sends it
/// once, to the endpoint named in it.
class EndpointRelay
{
public:
    /// `runActions` is called after each event for the gateway.
    EndpointRelay(HttpClient &endpoints, Gateway &gateway, std::function<void()> runActions)
        : endpoints_(endpoints), gateway_(gateway), runActions_(std::move(runActions))
    { }

    void onRequest(const HttpExchangePtr &exchange);
    /// For the server of `onRequest`: what it refuses itself was not accepted, as the asking daemon must
    /// know.
    HttpServerShare share(ByteBudgetPtr bytes);
    size_t openCalls() const { return openCalls_; }
    /// Sets how many connections other daemons may open: some are left for declining further requests.
    void setMaxConnections(size_t connections);
    /// Limits for a server whose requests carry callers' requests within `limits`.
    static HttpServerLimits limitsFor(const CallerLimits &limits);

private:
    /// Requests that are carried for other daemons at the same time. Each takes two descriptors.
    static constexpr size_t MaxOpenCalls = 500;

    /// A request that is being passed on.
    struct Passed {
        HttpExchangePtr exchange;
        EndpointId endpoint;
        bool isProbe = false;
        uint64_t call = 0; ///< Of `endpoints_`.
        bool isOver = false;
    };
    using PassedPtr = std::shared_ptr<Passed>;

    HeadVerdict onHead(const HttpRequest &head) const;
    /// Why a request is not passed on; nothing: it is.
    std::optional<RelayOutcome> problemOf(const HttpRequest &request) const;
    HttpCallbacks callbacksFor(const PassedPtr &passed);
    void finish(const Passed &passed, HttpFailure failure);
    void confirmRefusal(const Passed &passed);

    HttpClient &endpoints_;
    Gateway &gateway_;
    std::function<void()> runActions_;
    size_t openCalls_ = 0;
    size_t maxOpenCalls_ = MaxOpenCalls;
};

} // namespace cranberry
