#include "daemon/configchange.h"

#include "daemon/safeguards.h"

#include <algorithm>

namespace json = boost::json;

namespace cranberry {

namespace {

constexpr size_t MaxRetainedChangeIds = 256;

} // namespace

std::string encodeStored(const StoredConfiguration &stored)
{
    json::object out;
    out["text"] = stored.text;
    json::array changes;
    for (const std::string &id : stored.changes)
        changes.emplace_back(id);
    out["changes"] = std::move(changes);
    return json::serialize(out);
}

Result<StoredConfiguration> decodeStored(const std::string &value, Revision revision)
{
    BOOST_LEAF_ASSIGN(const json::value parsed, parseJson(value));
    StoredConfiguration stored;
    stored.revision = revision;
    FieldReader reader(parsed, "stored");
    reader.required("text", stored.text);
    for (const std::pair<const json::value *, std::string> &element : reader.elements("changes", true)) {
        if (element.first->is_string())
            stored.changes.emplace_back(element.first->as_string());
    }
    if (const FieldError *error = reader.finish())
        return boost::leaf::new_error(*error);
    return stored;
}

ConfigurationChange::ConfigurationChange(std::string id, std::string text, std::optional<Revision> base,
                                         TimeMs deadline)
    : id_(std::move(id)), text_(std::move(text)), base_(base), deadline_(deadline)
{ }

void ConfigurationChange::finish(ChangeOutcome outcome, Revision revision)
{
    finalOutcome_ = outcome;
    revision_ = revision;
    step_ = Step::Done;
}

void ConfigurationChange::onRead(const StoredConfiguration &stored)
{
    // Step 1. Check whether this change is already stored. This covers a reply that was lost after the write
    // took effect, also when other changes were written since, because the id stays in the list.
    if (std::find(stored.changes.begin(), stored.changes.end(), id_) != stored.changes.end()) {
        revision_ = stored.revision;
        step_ = Step::Confirm;
        return;
    }
    // Step 2. The first read sets the base; any other revision after that means that another change was
    // written first.
    if (!base_)
        base_ = stored.revision;
    if (stored.revision != *base_)
        return finish(ChangeOutcome::Conflict, stored.revision);
    next_ = {*base_, text_, stored.changes};
    next_.changes.push_back(id_);
    if (next_.changes.size() > MaxRetainedChangeIds)
        next_.changes.erase(next_.changes.begin());
    step_ = Step::Write;
}

void ConfigurationChange::onReadFailed(TimeMs now)
{
    if (now >= deadline_)
        finish(ChangeOutcome::Unsettled, {});
}

// If the reply to the write is lost, the write itself may still be in flight, so reading the old revision
// does not prove that it failed. The same compare-and-swap is retried until a reply arrives: the copy that
// arrives second fails the revision check, so the change is written at most once.
void ConfigurationChange::onWritten(WriteResult writeResult, Revision revision, TimeMs now)
{
    if (writeResult == WriteResult::Applied) {
        revision_ = revision;
        step_ = Step::Confirm;
    } else if (!isOn(Safeguard::ReadBackAfterLostReply)) {
        finish(ChangeOutcome::Conflict, revision);
    } else if (writeResult == WriteResult::ReplyLost && now >= deadline_) {
        finish(ChangeOutcome::Unsettled, {});
    } else {
        step_ = Step::Read;
    }
}

void ConfigurationChange::onConfirm(bool confirmed, TimeMs now)
{
    if (confirmed)
        finish(ChangeOutcome::Accepted, revision_);
    else if (now >= deadline_)
        finish(ChangeOutcome::Unconfirmed, revision_);
}

} // namespace cranberry
