#include "gateway/requests/retryledger.h"

#include "common/fields.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace cranberry {

namespace {

namespace json = boost::json;

/// Slack of a service, in retries, for each of its keys.
constexpr double SlackPerPart = 25;
constexpr size_t MaxParts = 32;
/// Keys that one draw tries.
constexpr size_t MaxPartsTried = 4;
constexpr uint32_t MaxConflicts = 12;
/// Retries drawn at once: about the streams that one daemon has at an endpoint.
constexpr uint32_t MaxUnits = 64;
/// Later replies are of no use to the requests that wait.
constexpr DurationMs CallTimeout{300};
/// Calls without a reply after which nothing is drawn for `NoReplyPause`.
constexpr uint32_t MaxNoReplies = 2;
/// Nothing is drawn for this time after a failure.
constexpr DurationMs EmptyPause{200};
constexpr DurationMs NoReplyPause{500};
/// Draws stay in the list for this time beyond the window, as clocks differ.
constexpr DurationMs ClockTolerance{3000};

} // namespace

size_t RetryLedger::partCount() const
{
    return std::clamp(static_cast<size_t>(limits_.slack / SlackPerPart), size_t{1}, MaxParts);
}

// A time in the future is of an instance whose clock is ahead.
bool RetryLedger::isInWindow(int64_t wallMs, int64_t nowWallMs) const
{
    return nowWallMs - wallMs < (limits_.window + UnitLifetime + ClockTolerance).count;
}

uint32_t RetryLedger::freeUnits(const Part &part, const Situation &situation) const
{
    const bool knowsMore = isInWindow(part.requestsWallMs, situation.wallMs);
    const uint64_t requests = std::max(situation.requests, knowsMore ? part.requests : 0);
    const double pool = PooledFraction * (limits_.ratio * static_cast<double>(requests) + limits_.slack);
    double free = pool / static_cast<double>(partCount());
    for (const Draw &draw : part.draws)
        free -= isInWindow(draw.wallMs, situation.wallMs) ? draw.units : 0;
    return static_cast<uint32_t>(std::max(free, 0.0));
}

bool RetryLedger::isPossible(const ServiceName &service, TimeMs now) const
{
    const auto found = accounts_.find(service);
    return found == accounts_.end() || now >= found->second.blockedUntil;
}

bool RetryLedger::draw(const ServiceName &service, uint32_t units, const Situation &situation, TimeMs now)
{
    if (!isPossible(service, now))
        return false;
    const bool isNew = !accounts_.contains(service);
    Account &account = accounts_[service];
    if (isNew)
        account.part = random_.below(partCount());
    account.wanted = units;
    account.situation = situation;
    if (account.openCall != 0)
        return true;
    account.partsTried = 0;
    account.conflicts = account.noReplies = 0;
    if (write(service, account))
        return true;
    account.blockedUntil = now + EmptyPause;
    return false;
}

// What this daemon knows of a key is at least as much as is free there, as others only add draws.
bool RetryLedger::write(const ServiceName &service, Account &account)
{
    const size_t tries = std::min(partCount(), MaxPartsTried);
    for (; account.partsTried < tries; ++account.partsTried) {
        const Part &part = account.parts[account.part];
        const uint32_t units = std::min({freeUnits(part, account.situation), account.wanted, MaxUnits});
        if (units == 0) {
            account.part = (account.part + 1) % partCount();
            continue;
        }
        const int64_t wallMs = account.situation.wallMs;
        account.writing = units;
        account.written = part;
        std::erase_if(account.written.draws,
                      [&](const Draw &draw) { return !isInWindow(draw.wallMs, wallMs); });
        account.written.draws.push_back({wallMs, units});
        const bool knowsMore
            = isInWindow(part.requestsWallMs, wallMs) && part.requests > account.situation.requests;
        if (!knowsMore) {
            account.written.requests = account.situation.requests;
            account.written.requestsWallMs = wallMs;
        }
        const std::string key = fmt::format("retries.{}.{}", service.value, account.part);
        StoreCall call;
        call.id = account.openCall = nextCall_++;
        call.verb = StoreVerb::Write;
        call.conditions = {{StoreSpace::Archive, key, part.revision}};
        call.puts.push_back({StoreSpace::Archive, key, textOf(account.written), 0});
        call.timeout = CallTimeout;
        storeCalls_.push_back(std::move(call));
        return true;
    }
    return false;
}

std::optional<RetryLedger::Drawn> RetryLedger::onStoreReply(const StoreReply &reply, TimeMs now)
{
    const auto found = std::find_if(accounts_.begin(), accounts_.end(), [&reply](const auto &each) {
        return each.second.openCall != 0 && each.second.openCall == reply.id;
    });
    if (found == accounts_.end())
        return std::nullopt;
    Account &account = found->second;
    account.openCall = 0;
    // The copy lacks the newest draws, so nothing is drawn until these have left the window.
    if (reply.era && era_ && *reply.era > *era_) {
        for (std::pair<const ServiceName, Account> &each : accounts_)
            each.second.blockedUntil = now + limits_.window + UnitLifetime;
    }
    if (reply.era)
        era_ = reply.era;
    if (now < account.blockedUntil)
        return Drawn{found->first, 0};
    if (reply.outcome == StoreOutcome::Done) {
        account.parts[account.part] = account.written;
        account.parts[account.part].revision = reply.revision;
        return Drawn{found->first, account.writing};
    }
    if (reply.outcome != StoreOutcome::Conflict) {
        account.part = (account.part + 1) % partCount();
        if (++account.noReplies < MaxNoReplies && write(found->first, account))
            return std::nullopt;
        account.blockedUntil = now + NoReplyPause;
        return Drawn{found->first, 0};
    }
    account.parts[account.part] = reply.items.empty() ? Part{} : partFromItem(reply.items.front());
    if (++account.conflicts < MaxConflicts && write(found->first, account))
        return std::nullopt;
    account.blockedUntil = now + EmptyPause;
    return Drawn{found->first, 0};
}

std::string RetryLedger::textOf(const Part &part)
{
    json::array draws;
    for (const Draw &draw : part.draws)
        draws.push_back({draw.wallMs, draw.units});
    return json::serialize(json::object{
        {"requests", part.requests}, {"requestsWallMs", part.requestsWallMs}, {"draws", std::move(draws)}});
}

// Text that can't be read is of another version of this program, or damaged: it is replaced.
RetryLedger::Part RetryLedger::partFromItem(const StoreItem &item)
{
    Part part;
    part.revision = item.revision;
    json::error_code code;
    const json::value value = json::parse(item.value, code);
    const json::object *object = code ? nullptr : value.if_object();
    if (!object)
        return part;
    part.requests = wholeNumber<uint64_t>(object->if_contains("requests")).value_or(0);
    part.requestsWallMs = wholeNumber<int64_t>(object->if_contains("requestsWallMs")).value_or(0);
    const json::value *draws = object->if_contains("draws");
    if (!draws || !draws->is_array())
        return part;
    for (const json::value &each : draws->as_array()) {
        const json::array *row = each.if_array();
        if (!row || row->size() != 2)
            continue;
        part.draws.push_back(
            {wholeNumber<int64_t>(&(*row)[0]).value_or(0), wholeNumber<uint32_t>(&(*row)[1]).value_or(0)});
    }
    return part;
}

} // namespace cranberry
