// The store readers of a large fleet: the control key that names them.

#include "gateway/store/namedreaders.h"
#include "gateway/store/storesync.h"

#include <algorithm>
#include <boost/json.hpp>
#include <functional>

namespace cranberry {

namespace {

namespace json = boost::json;

/// While a fleet starts, the readers change all the time.
constexpr DurationMs WritePause{1000};
/// Without a reply for this time since they were named, no named reader is there any more. Those that are
/// killed or lost are replaced sooner, as long as one is left.
constexpr DurationMs MaxSilence{8000};

} // namespace

std::string readersText(const std::vector<Address> &readers)
{
    json::array addresses;
    for (const Address &reader : readers)
        addresses.push_back(json::value(toText(reader)));
    return json::serialize(json::object{{"readers", std::move(addresses)}});
}

std::vector<Address> readersFromText(const std::string &text)
{
    std::vector<Address> out;
    json::error_code code;
    const json::value value = json::parse(text, code);
    const json::object *object = code ? nullptr : value.if_object();
    const json::value *rows = object ? object->if_contains("readers") : nullptr;
    if (!rows || !rows->is_array())
        return out;
    for (const json::value &row : rows->as_array()) {
        const std::optional<Address> address
            = row.is_string() ? addressFromText(std::string(row.as_string())) : std::nullopt;
        if (address)
            out.push_back(*address);
    }
    return out;
}

// A daemon that named itself because it is cut off from its peers is no right choice: a reader that knows all
// members puts that right.
std::optional<std::vector<Address>> StoreSync::readersToCheck(TimeMs now) const
{
    const bool knowsAll = isStoreReader_ && newestControl_ == newestShared_ && newestShared_.count != 0;
    if (!isLargeFleet() || !knowsAll || now < nameReadersAt_)
        return std::nullopt;
    return namedItself_ ? std::vector<Address>() : readers_.addresses;
}

void StoreSync::nameReaders(const std::vector<Address> &readers, TimeMs now)
{
    if (readers == readers_.addresses)
        namedItself_ = false;
    else if (!readers.empty())
        writeReaders(readers, now);
}

// All daemons of a fleet that starts for the first time do so at once. The condition lets one win, and the
// others learn of it from the reply.
void StoreSync::nameItselfIfAlone(TimeMs now)
{
    const bool isSilent = now - std::max(repliedAt_, readersTakenAt_) > MaxSilence;
    const bool isAlone = isLargeFleet() && !isStoreReader_ && (readers_.addresses.empty() || isSilent);
    if (isAlone && now >= nameReadersAt_ && newestControl_.count != 0)
        writeReaders({settings_.self.peerAddress}, now);
}

void StoreSync::writeReaders(const std::vector<Address> &readers, TimeMs now)
{
    if (tooManyOpen(Purpose::NameReaders))
        return;
    nameReadersAt_ = now + WritePause;
    writtenReaders_ = readers;
    StoreCall call;
    call.verb = StoreVerb::Write;
    call.conditions.push_back({StoreSpace::Control, ReadersKey, readers_.revision});
    call.puts.push_back({StoreSpace::Control, ReadersKey, readersText(readers), 0});
    call.timeout = WriteTimeout;
    send(std::move(call), {Purpose::NameReaders, now, now, {}, 0}, now);
}

void StoreSync::onReadersWritten(const StoreReply &reply, TimeMs now)
{
    if (reply.outcome == StoreOutcome::Done) {
        readers_ = {writtenReaders_, reply.revision};
        namedItself_ = writtenReaders_.size() == 1 && isNamedReader();
        log_.write(LogPriority::State, "readers_named",
                   {{"count", writtenReaders_.size()}, {"itself", namedItself_}});
    }
    if (reply.outcome != StoreOutcome::Conflict)
        return;
    for (const StoreItem &item : reply.items)
        takeReaders({readersFromText(item.value), item.revision}, now);
}

// New readers get the time to read the lists before they count as silent: otherwise hundreds of daemons that
// wait for them would name themselves one after the other. Revisions of two eras can't be compared; the first
// read in a new era is taken.
void StoreSync::takeReaders(const NamedReaders &readers, TimeMs now)
{
    if (readers.revision <= readers_.revision)
        return;
    readers_ = readers;
    readersTakenAt_ = now;
    namedItself_ = namedItself_ && isNamedReader();
}

bool StoreSync::isNamedReader() const
{
    const std::vector<Address> &named = readers_.addresses;
    return std::find(named.begin(), named.end(), settings_.self.peerAddress) != named.end();
}

// The daemons are distributed over the readers by a hash of both names, so that a reader that falls silent
// moves its own daemons only: each that moves may need the whole list.
std::optional<Address> StoreSync::namedReader(const std::set<Address> &silent) const
{
    std::vector<Address> heard = readers_.addresses;
    std::erase_if(heard, [&](const Address &reader) {
        return silent.contains(reader) || reader == settings_.self.peerAddress;
    });
    const bool anyHasHistory = std::any_of(heard.begin(), heard.end(), [this](const Address &reader) {
        return !withoutHistory_.contains(reader);
    });
    if (anyHasHistory)
        std::erase_if(heard, [this](const Address &reader) { return withoutHistory_.contains(reader); });
    if (heard.empty())
        return std::nullopt;
    const auto rank = [this](const Address &reader) {
        return std::hash<std::string>()(toText(reader) + " " + settings_.self.instance.value);
    };
    return *std::max_element(heard.begin(), heard.end(),
                             [&rank](const Address &a, const Address &b) { return rank(a) < rank(b); });
}

} // namespace cranberry
