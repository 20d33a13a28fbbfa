#include "daemon/io/platform.h"

#include "daemon/io/jsonread.h"
#include "daemon/io/logging.h"

#include <openssl/evp.h>

namespace json = boost::json;

namespace cranberry {

namespace {

constexpr const char *ConfigurationKey = "/cranberry/configuration";
constexpr const char *OncePrefix = "/cranberry/once/";
constexpr DurationMs CallTimeout{1500};
constexpr DurationMs ReadInterval{3000}; ///< Polling backs up the watch, which can stop delivering.
constexpr DurationMs WatchTimeout{15000};
constexpr DurationMs WatchRetryInterval{500};
constexpr DurationMs NoticePollInterval{400};
constexpr uint32_t MaxOnceTries = 8;

std::string toBase64(const std::string &text)
{
    std::string out(4 * ((text.size() + 2) / 3), '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                    reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    return out;
}

std::string fromBase64(const std::string &text)
{
    std::string out(3 * (text.size() / 4), '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                                     reinterpret_cast<const unsigned char *>(text.data()),
                                     static_cast<int>(text.size()));
    size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    out.resize(size < 0 ? 0 : static_cast<size_t>(size) - padding);
    return out;
}

const json::value *firstElement(const json::value &value, const char *name)
{
    const json::object *object = value.if_object();
    const json::value *field = object ? object->if_contains(name) : nullptr;
    const json::array *array = field ? field->if_array() : nullptr;
    return array && !array->empty() ? &array->front() : nullptr;
}

std::string encodeRecord(const OnceRecord &record)
{
    return json::serialize(json::object{{"state", static_cast<int>(record.state)},
                                        {"refusedThrough", record.refusedThrough},
                                        {"holder", std::to_string(record.holder.value)},
                                        {"request", toText(record.request)}});
}

OnceRecord decodeRecord(const std::string &text)
{
    OnceRecord record;
    const json::value value = parseOrNull(text);
    record.state = static_cast<OnceState>(std::min<uint64_t>(numberField(value, "state"), 2));
    record.refusedThrough = static_cast<uint32_t>(numberField(value, "refusedThrough"));
    record.holder = {numberField(value, "holder")};
    record.request = requestIdFromText(stringField(value, "request")).value_or(RequestId{});
    return record;
}

} // namespace

Platform::Platform(boost::asio::io_context &io, HttpClient &http, const Address &address, Sink sink,
                   std::function<bool()> isWatcher)
    : io_(io), http_(http), address_(address), sink_(std::move(sink)), isWatcher_(std::move(isWatcher))
{ }

void Platform::start()
{
    readLoop();
    watch();
    noticeLoop();
}

void Platform::runAfter(DurationMs wait, std::function<void()> action)
{
    std::shared_ptr<boost::asio::steady_timer> timer
        = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(wait.count));
    timer->async_wait([timer, weak = std::weak_ptr<bool>(alive_),
                       action = std::move(action)](const boost::system::error_code &code) {
        if (!code && weak.lock())
            action();
    });
}

void Platform::post(const std::string &target, std::string body,
                    std::function<void(const HttpResponse &)> onDone)
{
    HttpCall call;
    call.address = address_;
    call.request = {"POST", target, {{"Content-Type", "application/json"}}, std::move(body)};
    call.progressTimeout = CallTimeout;
    http_.fetch(
        std::move(call),
        [this, weak = std::weak_ptr<bool>(alive_), onDone = std::move(onDone)](const HttpResponse &response) {
            if (!weak.lock())
                return;
            const bool ok = response.failure == HttpFailure::None && response.status == 200;
            failures_ += ok ? 0 : 1;
            if (ok != reachable_) {
                reachable_ = ok;
                logChange(ok ? "platformReachable" : "platformSilent", "address={}", toText(address_));
            }
            onDone(response);
        });
}

void Platform::range(const std::string &key, std::function<void(const StoredValue &)> onDone)
{
    ++reads_;
    post("/v3/kv/range", json::serialize(json::object{{"key", toBase64(key)}}),
         [onDone = std::move(onDone)](const HttpResponse &response) {
             StoredValue value;
             const json::value body = parseOrNull(response.body);
             value.available
                 = response.failure == HttpFailure::None && response.status == 200 && body.is_object();
             if (const json::value *found = firstElement(body, "kvs")) {
                 value.text = fromBase64(stringField(*found, "value"));
                 value.modRevision = numberField(*found, "mod_revision");
             }
             onDone(value);
         });
}

void Platform::compareAndSwap(const std::string &key, uint64_t modRevision, const std::string &value,
                              std::function<void(ConfigurationChange::WriteResult, Revision)> onDone)
{
    ++writes_;
    const json::object compare{{"key", toBase64(key)},
                               {"target", "MOD"},
                               {"result", "EQUAL"},
                               {"mod_revision", std::to_string(modRevision)}};
    const json::object put{{"request_put", json::object{{"key", toBase64(key)}, {"value", toBase64(value)}}}};
    const json::object body{{"compare", json::array{compare}}, {"success", json::array{put}}};
    post("/v3/kv/txn", json::serialize(body), [onDone = std::move(onDone)](const HttpResponse &response) {
        // Failed: the request was never sent or the service rejected it, so nothing was written. In all other
        // cases the write may have taken effect.
        if (!mayHaveArrived(response.failure))
            return onDone(ConfigurationChange::WriteResult::NotApplied, {});
        const json::value reply = parseOrNull(response.body);
        if (response.failure != HttpFailure::None || response.status != 200 || !reply.is_object())
            return onDone(ConfigurationChange::WriteResult::ReplyLost, {});
        const json::value *succeeded = reply.as_object().if_contains("succeeded");
        const json::value *header = reply.as_object().if_contains("header");
        const bool written = succeeded && succeeded->is_bool() && succeeded->as_bool();
        onDone(written ? ConfigurationChange::WriteResult::Applied
                       : ConfigurationChange::WriteResult::NotApplied,
               {header ? numberField(*header, "revision") : 0});
    });
}

void Platform::readConfiguration(std::function<void(std::optional<StoredConfiguration>)> onDone)
{
    range(ConfigurationKey, [onDone = std::move(onDone)](const StoredValue &value) {
        if (!value.available)
            return onDone(std::nullopt);
        StoredConfiguration stored;
        if (value.modRevision != 0) {
            const bool readable = boost::leaf::try_handle_all(
                [&]() -> Result<bool> {
                    BOOST_LEAF_ASSIGN(stored, decodeStored(value.text, {value.modRevision}));
                    return true;
                },
                [] { return false; });
            if (!readable)
                return onDone(std::nullopt);
        }
        onDone(stored);
    });
}

void Platform::writeConfiguration(const StoredConfiguration &stored,
                                  std::function<void(ConfigurationChange::WriteResult, Revision)> onDone)
{
    compareAndSwap(ConfigurationKey, stored.revision.value, encodeStored(stored), std::move(onDone));
}

// Every daemon reads the configuration once at start. After that only the watchers read it, and the other
// daemons receive it from them.
void Platform::readLoop()
{
    if (hasRead_ && !isWatcher_())
        return runAfter(ReadInterval, [this] { readLoop(); });
    readConfiguration([this](const std::optional<StoredConfiguration> &stored) {
        hasRead_ = hasRead_ || (stored && stored->revision.value != 0);
        if (stored && stored->revision.value != 0)
            sink_(ConfigurationReceived{stored->revision, stored->text});
        else if (!stored)
            sink_(PlatformUnreachable{});
        runAfter(stored ? ReadInterval : WatchRetryInterval, [this] { readLoop(); });
    });
}

// A watch event only triggers an early read and its contents are never applied, so a gap in the watch causes
// delay and no other harm. A watch without data for WatchTimeout is reopened.
void Platform::watch()
{
    if (!isWatcher_())
        return runAfter(ReadInterval, [this] { watch(); });
    ++reads_;
    HttpCall call;
    call.address = address_;
    const json::object create{{"create_request", json::object{{"key", toBase64(ConfigurationKey)}}}};
    call.request = {"POST", "/v3/watch", {{"Content-Type", "application/json"}}, json::serialize(create)};
    call.progressTimeout = WatchTimeout;
    HttpCallbacks callbacks;
    std::weak_ptr<bool> weak = alive_;
    callbacks.onData = [this, weak](const char *data, size_t size) {
        if (weak.lock())
            onWatchData(data, size);
    };
    callbacks.onDone = [this, weak](HttpFailure) {
        if (!weak.lock())
            return;
        watchTail_.clear();
        watchLineHasEvents_ = false;
        runAfter(WatchRetryInterval, [this] { watch(); });
    };
    http_.start(std::move(call), std::move(callbacks));
}

void Platform::onWatchData(const char *data, size_t size)
{
    // Only whether a complete line has events counts, so no more is kept of a line than may be a part of that
    // word: lines need not end.
    constexpr std::string_view EventsField = "\"events\"";
    bool changed = false;
    for (std::string_view rest(data, size); !rest.empty();) {
        const size_t end = std::min(rest.find('\n'), rest.size());
        watchTail_.append(rest.substr(0, end));
        watchLineHasEvents_ = watchLineHasEvents_ || watchTail_.find(EventsField) != std::string::npos;
        if (end == rest.size()) {
            watchTail_.erase(0, watchTail_.size() - std::min(watchTail_.size(), EventsField.size() - 1));
            break;
        }
        changed = changed || std::exchange(watchLineHasEvents_, false);
        watchTail_.clear();
        rest.remove_prefix(end + 1);
    }
    if (!changed)
        return;
    readConfiguration([this](const std::optional<StoredConfiguration> &stored) {
        if (stored && stored->revision.value != 0)
            sink_(ConfigurationReceived{stored->revision, stored->text});
    });
}

void Platform::noticeLoop()
{
    if (!isWatcher_())
        return runAfter(NoticePollInterval, [this] { noticeLoop(); });
    HttpCall call;
    call.address = address_;
    call.request = {"GET", "/cloud/instances", {}, ""};
    call.progressTimeout = CallTimeout;
    http_.fetch(std::move(call), [this, weak = std::weak_ptr<bool>(alive_)](const HttpResponse &response) {
        if (!weak.lock())
            return;
        if (response.failure == HttpFailure::None && response.status == 200)
            onNotices(response.body);
        runAfter(NoticePollInterval, [this] { noticeLoop(); });
    });
}

void Platform::onNotices(const std::string &body)
{
    const json::value parsed = parseOrNull(body);
    const json::object *object = parsed.if_object();
    const json::value *instances = object ? object->if_contains("instances") : nullptr;
    if (!instances || !instances->is_array())
        return;
    for (const json::value &instance : instances->as_array()) {
        const std::string name = stringField(instance, "name");
        if (stringField(instance, "state") != "leaving" || noticesSeen_.contains(name))
            continue;
        const DurationMs notice{static_cast<int64_t>(numberField(instance, "noticeMs"))};
        noticesSeen_[name] = notice;
        logChange("instanceLeaving", "instance={} noticeMs={}", name, notice.count);
        sink_(LeavingNotice{{name}, notice});
    }
}

void Platform::updateOnceRecord(const OnceQuery &query, Incarnation requester)
{
    tryUpdateOnceRecord(query, requester, 0);
}

// Reads the record, applies the once rule to it and writes it back by compare-and-swap. After a lost response
// the record is read again; the rule gives the same reply to the same request, so a write that took effect is
// recognised.
void Platform::tryUpdateOnceRecord(const OnceQuery &query, Incarnation requester, uint32_t tries)
{
    const std::string key = OncePrefix + query.key.bare;
    range(key, [this, query, requester, key, tries](const StoredValue &value) {
        const PlatformOnceReply unavailable{{query.request, query.action, {}}, false};
        if (!value.available || tries >= MaxOnceTries)
            return sink_(unavailable);
        OnceRecord record = value.modRevision ? decodeRecord(value.text) : OnceRecord{};
        const OnceRecord before = record;
        const OnceAnswer reply = applyOnce(record, query, requester);
        if (record == before)
            return sink_(PlatformOnceReply{{query.request, query.action, reply}, true});
        compareAndSwap(
            key, value.modRevision, encodeRecord(record),
            [this, query, requester, reply, tries](ConfigurationChange::WriteResult outcome, Revision) {
                if (outcome != ConfigurationChange::WriteResult::Applied)
                    return tryUpdateOnceRecord(query, requester, tries + 1);
                sink_(PlatformOnceReply{{query.request, query.action, reply}, true});
            });
    });
}

} // namespace cranberry
