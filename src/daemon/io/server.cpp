#include "daemon/io/server.h"

#include "daemon/io/adminapi.h"
#include "daemon/io/logging.h"
#include "io/steadyclock.h"

#include <boost/asio/post.hpp>
#include <csignal>
#include <openssl/rand.h>

namespace cranberry {

namespace {

constexpr uint64_t TicksPerKeepAlive = 10;
constexpr DurationMs StopGrace{50};
/// A notice's drain ends 300 ms before the instance does.
constexpr DurationMs LastWritesTime{200};
constexpr size_t CopiesOfBody = 2; ///< The body as received and the text of its messages.

uint64_t randomNonZero()
{
    uint64_t value = 0;
    while (value == 0) {
        if (RAND_bytes(reinterpret_cast<unsigned char *>(&value), sizeof(value)) != 1)
            std::abort();
    }
    return value;
}

DaemonOptions identityOf(const Settings &settings)
{
    DaemonOptions identity;
    identity.member = {{randomNonZero()},
                       settings.instance,
                       settings.failureDomain,
                       settings.callerAddress,
                       settings.peerAddress,
                       1,
                       {0}};
    identity.seeds = settings.peers;
    identity.entryListTtl = settings.entryListTtl;
    identity.answerRetention = settings.answerRetention;
    identity.drainLimit = settings.drainLimit;
    identity.seed = randomNonZero();
    return identity;
}

} // namespace

Server::Server(Settings settings)
    : settings_(std::move(settings)), timer_(io_), signals_(io_, SIGTERM, SIGINT),
      daemon_(identityOf(settings_)),
      processLimits_(findProcessLimits(settings_.memoryMb, settings_.maxDescriptors)),
      bytes_(std::make_shared<ByteBudget>(clientBytes(processLimits_))), keptAnswers_(bytes_),
      platformReplies_(std::make_shared<ByteBudget>(replyBytes(processLimits_))),
      http_(io_, platformReplies_),
      platform_(
          io_, http_, settings_.platformAddress, [this](Event event) { post(std::move(event)); },
          [this] { return isWatcher(daemon_.world()); }),
      endpoints_(http_, bytes_, [this](Event event) { post(std::move(event)); }),
      callers_([this](Event event) { post(std::move(event)); }, [this] { return now(); })
{ }

Server::~Server() = default;

TimeMs Server::now() const
{
    return steadyTime();
}

// Events posted while actions are being performed are queued, so that the core is never reentered.
void Server::post(Event event)
{
    pendingEvents_.push_back(std::move(event));
    if (processingEvents_)
        return;
    processingEvents_ = true;
    while (!pendingEvents_.empty()) {
        const Event next = std::move(pendingEvents_.front());
        pendingEvents_.pop_front();
        const std::vector<Action> actions = daemon_.step(now(), next);
        for (const Action &action : actions)
            perform(action);
    }
    processingEvents_ = false;
}

void Server::perform(const Action &action)
{
    struct Performer {
        Server &server;

        void operator()(const SendPeer &a) const { server.peers_->send(a); }
        void operator()(const StartAttempt &a) const { server.endpoints_.start(a); }
        void operator()(const CancelAttempt &a) const { server.endpoints_.cancel(a.attempt); }
        void operator()(const QueryPlatform &a) const
        {
            server.platform_.updateOnceRecord(a.question, server.daemon_.world().self());
        }
        void operator()(const ConfigurationInForce &a) const
        {
            logChange("configurationInForce", "instance={} revision={}", server.settings_.instance.value,
                      a.revision.value);
        }
        void operator()(const Stopped &) const { server.stop(); }
        void operator()(const CallerAccepted &a) const { server.callers_.handle(a); }
        void operator()(const CallerData &a) const { server.callers_.handle(a); }
        void operator()(const CallerEnd &a) const { server.callers_.handle(a); }
        void operator()(const CallerRefused &a) const { server.callers_.handle(a); }
        void operator()(const CallerMoved &a) const { server.callers_.handle(a); }
        void operator()(const CallerRedirected &a) const { server.callers_.handle(a); }
        void operator()(const CallerEntriesReply &a) const { server.callers_.handle(a); }
    };
    std::visit(Performer{*this}, action);
}

void Server::tick()
{
    timer_.expires_after(std::chrono::milliseconds(TickInterval.count));
    timer_.async_wait([this](const boost::system::error_code &code) {
        if (code)
            return;
        post(Tick{});
        if (++ticks_ % TicksPerKeepAlive == 0) {
            callers_.tick();
            keptAnswers_.set(keptAnswerBytes(daemon_.world()), now());
            endpoints_.releaseEnded();
        }
        admin_->tick();
        tick();
    });
}

// The first signal starts a drain; a second one ends all requests with a final response and stops the daemon
// in the next tick. A further one doesn't wait for that.
void Server::onSignal()
{
    signals_.async_wait([this](const boost::system::error_code &code, int) {
        if (code)
            return;
        if (stopsNow_)
            return stop();
        stopsNow_ = daemon_.world().drain.active;
        logChange("draining", "instance={} planned=true", settings_.instance.value);
        post(DrainRequested{stopsNow_ ? std::optional(DurationMs{0}) : std::nullopt});
        onSignal();
    });
}

void Server::stop()
{
    logChange("stopped", "instance={}", settings_.instance.value);
    callerServer_->stopAccepting();
    exitWhenWritten(std::exchange(hasStopped_, true) ? now() : daemon_.world().drain.endsAt + LastWritesTime);
}

// In StopGrace, requests already received on open connections are redirected to other daemons. A complete
// response that its caller reads slowly is written to its end, for as long as the drain may last.
void Server::exitWhenWritten(TimeMs latest)
{
    std::shared_ptr<boost::asio::steady_timer> timer
        = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(StopGrace.count));
    timer->async_wait([this, timer, latest](const boost::system::error_code &) {
        if (callerServer_->unwrittenResponses() == 0 || now() >= latest)
            io_.stop();
        else
            exitWhenWritten(latest);
    });
}

std::string Server::metrics() const
{
    const World &world = daemon_.world();
    std::string out = prometheusText(world.counters) + callers_.latencies().prometheusText();
    const HttpServerCounters &http = callerServer_->counters();
    out += fmt::format("cranberry_http_connections_total {}\ncranberry_http_bad_requests_total {}\n"
                       "cranberry_http_too_large_total {}\ncranberry_http_timeouts_total {}\n",
                       http.connections, http.badRequests, http.tooLarge, http.timeouts);
    out += fmt::format("cranberry_http_no_memory_total {}\ncranberry_http_no_connection_total {}\n"
                       "cranberry_client_bytes {}\ncranberry_client_bytes_limit {}\n",
                       http.noMemory, http.noConnection, bytes_->used(), bytes_->limit());
    out += fmt::format("cranberry_answers_without_room_total {}\n", endpoints_.noRoom());
    out += fmt::format("cranberry_platform_reads_total {}\ncranberry_platform_writes_total {}\n"
                       "cranberry_platform_failures_total {}\ncranberry_peer_bytes_sent_total {}\n",
                       platform_.reads(), platform_.writes(), platform_.failures(), peers_->bytesSent());
    out += fmt::format("cranberry_requests_held {}\ncranberry_queue {}\ncranberry_members_alive {}\n"
                       "cranberry_witnessed {}\ncranberry_register_records {}\ncranberry_marks {}\n"
                       "cranberry_revision {}\n",
                       world.requests.size(), world.queue.size(), world.members.aliveCount(),
                       world.witnessRecords.size(), world.onceRegister.recordCount(), world.marks.size(),
                       world.revision.value);
    return out;
}

int Server::run()
{
    peers_ = PeerLink::open(io_, settings_.peerAddress, daemon_.world().self(),
                            [this](PeerInbound message) { post(std::move(message)); });
    if (!peers_) {
        logChange("cannotListen", "peerAddress={}", toText(settings_.peerAddress));
        return 1;
    }
    HttpServerLimits limits;
    limits.maxBodyBytes = settings_.maxBodyBytes;
    admin_ = std::make_unique<AdminApi>(*this);
    try {
        const ConnectionLimits connections = connectionLimits(processLimits_);
        HttpServerShare share;
        share.bytes = bytes_;
        share.copiesOfBody = CopiesOfBody;
        share.maxConnections = connections.callers;
        callerServer_ = std::make_unique<HttpServer>(
            io_, settings_.callerAddress, limits, [this](const HttpExchangePtr &e) { callers_.onRequest(e); },
            share);
        share.maxConnections = connections.other;
        adminServer_ = std::make_unique<HttpServer>(
            io_, settings_.adminAddress, limits, [this](const HttpExchangePtr &e) { admin_->onRequest(e); },
            share);
    } catch (const boost::system::system_error &error) {
        logChange("cannotListen", "error=\"{}\"", error.what());
        return 1;
    }
    logChange("started", "instance={} failureDomain={} incarnation={:016x} callers={}",
              settings_.instance.value, settings_.failureDomain.value, daemon_.world().self().value,
              toText(settings_.callerAddress));
    platform_.start();
    onSignal();
    tick();
    io_.run();
    return 0;
}

} // namespace cranberry
