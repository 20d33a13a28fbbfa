#pragma once

#include "common/types.h"

#include <map>
#include <vector>

namespace cranberry {

enum class OnceVerdict : uint8_t {
    Granted, ///< The requester may dispatch this request once.
    HeldElsewhere, ///< Another request holds the key and supplies the answer.
    Refused, ///< This attempt is never granted, so "not run" may be reported.
    Unknown, ///< The register has no record of the key and never grants it.
    Sealed ///< The register has moved to `holder`, or 0 until the successor has confirmed.
};

struct OnceAnswer {
    OnceVerdict verdict = OnceVerdict::Unknown;
    Incarnation holder;
    RequestId request;

    friend bool operator==(const OnceAnswer &, const OnceAnswer &) = default;
};

enum class OnceState : uint8_t { Absent, Granted, Done };

/// The register's record of one key.
struct OnceRecord {
    OnceState state = OnceState::Absent;
    uint32_t refusedThrough = 0; ///< Attempts up to this number are refused permanently.
    Incarnation holder;
    RequestId request;

    friend bool operator==(const OnceRecord &, const OnceRecord &) = default;
};

/// The operations on one key of a register.
enum class OnceAction : uint8_t { Acquire, Refuse, Finish };

struct OnceQuery {
    OnceAction action = OnceAction::Acquire;
    OnceKey key;
    uint32_t attempt = 1;
    RequestId request;
    Incarnation movedFrom; ///< Acquire: the daemon that handed the request over to the requester.
};

/// Applies a query to the record of one key. The daemons' registers and the platform service share this rule.
OnceAnswer applyOnce(OnceRecord &record, const OnceQuery &query, Incarnation requester);

/// The key records of one session by sequence number. Records up to `floor` have been evicted.
struct OnceSession {
    Incarnation registrar;
    uint64_t number = 0;
    uint64_t floor = 0;
    std::map<uint64_t, OnceRecord> records;

    friend bool operator==(const OnceSession &, const OnceSession &) = default;
};

/// The write-once register that ensures at-most-once execution. Exactly one daemon at a time holds the keys
/// of a session: the daemon that opened it, then the daemon that the register was moved to.
class OnceRegister
{
public:
    explicit OnceRegister(Incarnation self) : self_(self) { }

    uint64_t openSession();

    OnceAnswer answer(const OnceQuery &query, Incarnation requester);

    /// Permanently stops granting and returns all sessions for transfer to the successor.
    std::vector<OnceSession> seal();
    /// Sets the successor after it has confirmed the sessions. Only the first call has an effect.
    void moveTo(Incarnation successor);
    void adopt(const std::vector<OnceSession> &sessions);

    Incarnation successor() const { return successor_; }
    bool isSealed() const { return sealed_; }
    size_t sessionCount() const { return sessions_.size(); }
    size_t recordCount() const;

    friend bool operator==(const OnceRegister &, const OnceRegister &) = default;

private:
    OnceSession *findSession(const OnceKey &key);
    void evictOldest(OnceSession &session);

    Incarnation self_;
    Incarnation successor_;
    bool sealed_ = false;
    uint64_t nextSession_ = 1;
    std::map<std::pair<uint64_t, uint64_t>, OnceSession>
        sessions_; ///< Keyed by registrar and session number.
};

} // namespace cranberry
