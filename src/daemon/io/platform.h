#pragma once

#include "daemon/configchange.h"
#include "daemon/messages.h"
#include "io/httpclient.h"

#include <boost/asio/steady_timer.hpp>
#include <map>

namespace cranberry {

/// Client of the platform: reads and writes its key-value service through etcd's published v3 JSON API
/// (range, txn, watch) and polls the cloud's list of instances. To support another platform, replace this
/// class.
class Platform
{
public:
    using Sink = std::function<void(Event)>;

    /// `isWatcher` returns whether this daemon reads from the platform on behalf of the other daemons.
    Platform(boost::asio::io_context &io, HttpClient &http, const Address &address, Sink sink,
             std::function<bool()> isWatcher);

    /// Reads and watches the configuration and polls the cloud's termination notices until this object is
    /// destroyed.
    void start();

    void readConfiguration(std::function<void(std::optional<StoredConfiguration>)> onDone);
    /// Writes by compare-and-swap against `stored.revision`.
    void writeConfiguration(const StoredConfiguration &stored,
                            std::function<void(ConfigurationChange::WriteResult, Revision)> onDone);
    /// Applies the query to the once record of a bare key by compare-and-swap.
    void updateOnceRecord(const OnceQuery &query, Incarnation requester);

    uint64_t reads() const { return reads_; }
    uint64_t writes() const { return writes_; }
    uint64_t failures() const { return failures_; }

private:
    struct StoredValue {
        bool available = false; ///< False if the service did not respond.
        std::string text;
        uint64_t modRevision = 0;
    };

    void range(const std::string &key, std::function<void(const StoredValue &)> onDone);
    void compareAndSwap(const std::string &key, uint64_t modRevision, const std::string &value,
                        std::function<void(ConfigurationChange::WriteResult, Revision)> onDone);
    void post(const std::string &target, std::string body, std::function<void(const HttpResponse &)> onDone);
    void readLoop();
    void watch();
    void onWatchData(const char *data, size_t size);
    void noticeLoop();
    void onNotices(const std::string &body);
    void tryUpdateOnceRecord(const OnceQuery &query, Incarnation requester, uint32_t tries);
    void runAfter(DurationMs wait, std::function<void()> action);

    boost::asio::io_context &io_;
    HttpClient &http_;
    Address address_;
    Sink sink_;
    std::function<bool()> isWatcher_;
    bool hasRead_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::string watchTail_; ///< The end of what was read of the current line.
    bool watchLineHasEvents_ = false;
    std::map<std::string, DurationMs> noticesSeen_;
    bool reachable_ = false;
    uint64_t reads_ = 0;
    uint64_t writes_ = 0;
    uint64_t failures_ = 0;
};

} // namespace cranberry
