#include "daemon/onceregister.h"

#include "daemon/safeguards.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr size_t MaxSessions = 4096;
constexpr size_t MaxRecordsPerSession = 256;

OnceAnswer heldElsewhere(const OnceRecord &record)
{
    return {OnceVerdict::HeldElsewhere, record.holder, record.request};
}

OnceAnswer acquireOnce(OnceRecord &record, const OnceQuery &query, Incarnation requester)
{
    // Step 1. A refused attempt stays refused. Otherwise a duplicate in a paused entry daemon could acquire
    // the key after the caller received "not run". The record is sufficient, since every grant checks it.
    if (query.attempt <= record.refusedThrough)
        return {OnceVerdict::Refused, {}, {}};

    // Step 2. Grant the key to the first requester.
    if (record.state == OnceState::Absent) {
        record.state = OnceState::Granted;
        record.holder = requester;
        record.request = query.request;
        return {OnceVerdict::Granted, requester, query.request};
    }

    // Step 3. Grant again on a repeated query by the holder, or after a handover by the holder. A handover
    // from any other daemon is a late duplicate of an earlier one and must not restore a grant.
    const bool sameRequest = record.state == OnceState::Granted && record.request == query.request;
    if (sameRequest && record.holder == requester)
        return {OnceVerdict::Granted, requester, query.request};
    const bool byHolder = record.holder == query.movedFrom || !isOn(Safeguard::TransferOnlyFromHolder);
    if (sameRequest && query.movedFrom && byHolder) {
        record.holder = requester;
        return {OnceVerdict::Granted, requester, query.request};
    }
    return heldElsewhere(record);
}

OnceAnswer refuseOnce(OnceRecord &record, const OnceQuery &query, Incarnation requester)
{
    const bool heldByRequester
        = record.state == OnceState::Granted && record.request == query.request && record.holder == requester;
    if (record.state != OnceState::Absent && !heldByRequester)
        return heldElsewhere(record);
    if (isOn(Safeguard::RecordRefusalBeforeReply))
        record.refusedThrough = std::max(record.refusedThrough, query.attempt);
    record.state = OnceState::Absent;
    return {OnceVerdict::Refused, {}, {}};
}

} // namespace

OnceAnswer applyOnce(OnceRecord &record, const OnceQuery &query, Incarnation requester)
{
    switch (query.action) {
    case OnceAction::Acquire:
        return acquireOnce(record, query, requester);
    case OnceAction::Refuse:
        return refuseOnce(record, query, requester);
    case OnceAction::Finish:
        break;
    }
    if (record.state == OnceState::Granted && record.request == query.request)
        record.state = OnceState::Done;
    return heldElsewhere(record);
}

// At MaxSessions, evicts a session to free capacity. Session numbers are not reused, so the keys of an
// evicted session stay "unknown" and can't be granted a second time.
uint64_t OnceRegister::openSession()
{
    const uint64_t number = nextSession_++;
    if (sessions_.size() >= MaxSessions)
        sessions_.erase(sessions_.begin());
    sessions_[{self_.value, number}] = {self_, number, 0, {}};
    return number;
}

OnceSession *OnceRegister::findSession(const OnceKey &key)
{
    auto found = sessions_.find({key.registrar.value, key.session});
    return found == sessions_.end() ? nullptr : &found->second;
}

void OnceRegister::evictOldest(OnceSession &session)
{
    while (session.records.size() > MaxRecordsPerSession) {
        session.floor = std::max(session.floor, session.records.begin()->first);
        session.records.erase(session.records.begin());
    }
}

OnceAnswer OnceRegister::answer(const OnceQuery &query, Incarnation requester)
{
    // A sealed register grants nothing. Otherwise a daemon that was paused while its successor already grants
    // could resume and grant the same key. Sealing before the sessions are sent is sufficient, because a
    // seal is permanent and does not depend on a clock.
    if (isSealed() && isOn(Safeguard::SealBeforeTransfer))
        return {OnceVerdict::Sealed, successor_, {}};
    OnceSession *session = findSession(query.key);
    if (!session || query.key.sequence <= session->floor)
        return {OnceVerdict::Unknown, {}, {}};
    const OnceAnswer out = applyOnce(session->records[query.key.sequence], query, requester);
    evictOldest(*session);
    return out;
}

std::vector<OnceSession> OnceRegister::seal()
{
    sealed_ = true;
    std::vector<OnceSession> out;
    out.reserve(sessions_.size());
    for (const std::pair<const std::pair<uint64_t, uint64_t>, OnceSession> &entry : sessions_)
        out.push_back(entry.second);
    return out;
}

// The successor is not published before it has confirmed. Otherwise the sessions could be sent to one daemon
// whose confirmation is lost, then to another, and both would be queried. Setting the successor once, after
// its confirmation, is sufficient: an unconfirmed copy is never queried.
void OnceRegister::moveTo(Incarnation successor)
{
    if (!successor_)
        successor_ = successor;
}

void OnceRegister::adopt(const std::vector<OnceSession> &sessions)
{
    for (const OnceSession &session : sessions)
        sessions_.try_emplace({session.registrar.value, session.number}, session);
}

size_t OnceRegister::recordCount() const
{
    size_t count = 0;
    for (const std::pair<const std::pair<uint64_t, uint64_t>, OnceSession> &entry : sessions_)
        count += entry.second.records.size();
    return count;
}

} // namespace cranberry
