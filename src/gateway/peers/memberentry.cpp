#include "gateway/peers/memberentry.h"

#include "common/fields.h"

#include <algorithm>
#include <fmt/format.h>

namespace cranberry {

namespace {

namespace json = boost::json;

/// Maximum number of members sent to peers while no daemon serves. Enough to tolerate the loss of some, and
/// few enough that the list soon stays the same when hundreds of daemons start.
constexpr size_t MaxMembersAtStart = 24;
constexpr size_t MaxMemberBytes = 64U << 10; ///< An entry has a few hundred.

} // namespace

std::string memberText(const MemberEntry &member)
{
    return json::serialize(json::object{{"incarnation", member.incarnation.value},
                                        {"failureDomain", member.failureDomain.value},
                                        {"callerAddress", toText(member.callerAddress)},
                                        {"peerAddress", toText(member.peerAddress)},
                                        {"cores", member.cores},
                                        {"serving", member.serving}});
}

std::optional<MemberEntry> memberFromText(const std::string &instance, const std::string &text)
{
    // Parsed, another writer's text may take many times its size, with each read.
    if (text.size() > MaxMemberBytes)
        return std::nullopt;
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<MemberEntry>> {
            BOOST_LEAF_ASSIGN(const json::value value, parseJson(text));
            MemberEntry member;
            member.instance.value = instance;
            FieldReader reader(value, "");
            reader.required("failureDomain", member.failureDomain);
            reader.required("callerAddress", member.callerAddress);
            reader.required("peerAddress", member.peerAddress);
            reader.optional("cores", member.cores, 0, 4096);
            reader.optional("serving", member.serving);
            reader.markKnown("incarnation");
            if (const FieldError *error = reader.finish())
                return boost::leaf::new_error(*error);
            const json::value *incarnation = value.as_object().if_contains("incarnation");
            const std::optional<uint64_t> number = wholeNumber<uint64_t>(incarnation);
            if (incarnation && incarnation->is_number() && !number)
                return std::optional<MemberEntry>();
            member.incarnation.value = number.value_or(0);
            return std::optional<MemberEntry>(member);
        },
        [] { return std::optional<MemberEntry>(); });
}

bool ranksBefore(const MemberEntry &a, const MemberEntry &b)
{
    return a.cores != b.cores ? a.cores > b.cores : a.incarnation < b.incarnation;
}

std::vector<MemberEntry> advertisedMembers(const std::vector<MemberEntry> &members)
{
    std::vector<MemberEntry> advertised;
    std::copy_if(members.begin(), members.end(), std::back_inserter(advertised),
                 [](const MemberEntry &member) { return member.serving; });
    if (!advertised.empty())
        return advertised;
    advertised = members;
    const size_t count = std::min(advertised.size(), MaxMembersAtStart);
    std::partial_sort(advertised.begin(), advertised.begin() + static_cast<std::ptrdiff_t>(count),
                      advertised.end(), ranksBefore);
    advertised.resize(count);
    return advertised;
}

uint64_t sharedStateDigest(uint64_t version, const std::vector<MemberEntry> &members,
                           const LeaderEntry &leader)
{
    std::string digested = fmt::format("{};{}:{}={};", version, leader.era, leader.revision, leader.value);
    for (const MemberEntry &member : advertisedMembers(members))
        digested += fmt::format("{}={};", member.instance.value, memberText(member));
    return jsonDigestOf(digested);
}

InstanceName leaderInstance(const LeaderEntry &leader)
{
    json::error_code code;
    const json::value value = json::parse(leader.value, code);
    const json::object *object = code || leader.revision == 0 ? nullptr : value.if_object();
    const json::value *instance = object ? object->if_contains("instance") : nullptr;
    return {instance && instance->is_string() ? std::string(instance->as_string()) : std::string()};
}

} // namespace cranberry
