#pragma once

#include "daemon/messages.h"
#include "io/httpserver.h"
#include "io/latency.h"

#include <map>

namespace cranberry {

/// The callers' HTTP interface (docs/CALLERS.md): turns requests into events, and actions into responses.
class CallerApi
{
public:
    using Sink = std::function<void(Event)>;
    using Clock = std::function<TimeMs()>;

    CallerApi(Sink sink, Clock clock);

    void onRequest(const HttpExchangePtr &exchange);

    void handle(const CallerAccepted &action);
    void handle(const CallerData &action);
    void handle(const CallerEnd &action);
    void handle(const CallerRefused &action);
    void handle(const CallerMoved &action);
    void handle(const CallerRedirected &action);
    void handle(const CallerEntriesReply &action);

    /// Writes an SSE comment to each idle stream, so that callers can detect a dead connection.
    void tick();

    const LatencyHistograms &latencies() const { return latencies_; }
    size_t openCallers() const { return callers_.size(); }

private:
    struct Caller {
        CallerId id;
        HttpExchangePtr exchange;
        bool stream = false;
        bool streamStarted = false; ///< The response head of the stream has been written.
        std::string requestId;
        std::string text; ///< The response text received so far; only kept for callers that don't stream.
        TimeMs arrivedAt;
        TimeMs lastWrite;
        bool receivedText = false;
    };

    void submitChat(const HttpExchangePtr &exchange);
    void submitPlain(const HttpExchangePtr &exchange, const std::string &path);
    void resume(const HttpExchangePtr &exchange, const HttpTarget &target);
    void entries(const HttpExchangePtr &exchange, const HttpTarget &target);
    Caller &open(const HttpExchangePtr &exchange, bool stream);
    Caller *find(CallerId id);
    void beginStream(Caller &caller);
    void close(CallerId id);

    Sink sink_;
    Clock clock_;
    std::map<CallerId, Caller> callers_;
    uint64_t nextCaller_ = 1;
    LatencyHistograms latencies_;
};

} // namespace cranberry
