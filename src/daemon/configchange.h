#pragma once

#include "common/fields.h"
#include "common/types.h"

namespace cranberry {

/// What the platform's service keeps under the configuration's key.
struct StoredConfiguration {
    Revision revision; ///< The service's own number for the last write; 0 if there was none.
    std::string text;
    std::vector<std::string> changes; ///< Ids of the latest changes, oldest first.
};

std::string encodeStored(const StoredConfiguration &stored);
Result<StoredConfiguration> decodeStored(const std::string &value, Revision revision);

/// One operator's change on its way into force: read, compare-and-swap, read back, confirm. The driver in io
/// performs step() and reports what came of it; all decisions are here.
class ConfigurationChange
{
public:
    enum class Step : uint8_t { Read, Write, Confirm, Done };
    enum class Verdict : uint8_t {
        Accepted, ///< Written, and held by daemons in enough failure domains.
        Conflict, ///< Another change came first; nothing was written.
        Unsettled, ///< The service could not be asked in time: settle it later by the change's id.
        Unconfirmed ///< Written for good, but not yet seen in enough other failure domains.
    };
    enum class Write : uint8_t { Held, Failed, Lost };

    /// `base` is the revision the operator edited; none means "whatever is in force now".
    ConfigurationChange(std::string id, std::string text, std::optional<Revision> base, TimeMs deadline);

    Step step() const { return step_; }
    Verdict verdict() const { return verdict_; }
    Revision revision() const { return revision_; } ///< Accepted: the new one. Conflict: the winner's.
    const StoredConfiguration &toWrite() const { return next_; } ///< Its revision is the one compared with.

    void onRead(const StoredConfiguration &stored);
    void onReadFailed(TimeMs now);
    void onWritten(Write outcome, Revision revision, TimeMs now);
    void onConfirm(bool confirmed, TimeMs now);

private:
    void end(Verdict verdict, Revision revision);

    std::string id_;
    std::string text_;
    std::optional<Revision> base_;
    TimeMs deadline_;
    Step step_ = Step::Read;
    Verdict verdict_ = Verdict::Unsettled;
    Revision revision_;
    StoredConfiguration next_;
};

} // namespace cranberry
