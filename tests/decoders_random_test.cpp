// Fuzzes the decoders of external input: each text must be decoded or rejected with a reason.

#include "common/random.h"
#include "gateway/peers/peerdatagrams.h"
#include "gatewayfixture.h"
#include "platform/documents.h"
#include "platform/leadertasks.h"
#include "platform/requests.h"
#include "platform/storecodec.h"

using namespace cranberry;

namespace {

/// Texts per seed; both seeds together take about three seconds.
constexpr int Rounds = 700'000;
/// Add any seed that makes a decoder fail and keep it as a regression test.
constexpr uint64_t Seeds[] = {1, 20261202};

constexpr const char *Entry = R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Version":"v1","Slots":64,
"State":"ready","ColdRemainingMs":0,"Models":[{"Name":"m"}],"Seq":4,"born":1764700000000,"Spot":true,"leaves_ms":2000})";
constexpr const char *Configuration = R"({"Version":7,"Routes":[{"Name":"r1","Host":"h","Prefix":"/a/",
"Kind":"streaming","TimeoutMs":12000,"Priority":1,"TrafficSplit":[{"Service":"s1","Weight":90}],"Attempts":1}],
"Services":[{"Name":"s1","Engine":{"Slots":64,"Moves":true},"Scaling":{"Min":1,"ZonePrices":{"z":1.0}}}],
"Tenants":[{"Name":"t","ApiKeys":["k1"],"Unit":"token_stream","RatePerS":1}]})";
constexpr const char *Reply
    = R"({"Items":[{"Key":"servers/i-7","Value":"e30=","Revision":6},{"Key":"own/member/x","Value":"e30=","Lease":3}],
"Truncated":true,"Revision":5,"Lease":7,"TtlMs":3000})";
constexpr const char *Report = R"({"State":"draining","born":17,"leaves_ms":900,"Runs":[["a",1,2,3]]})";
constexpr const char *Move = R"({"Handle":"h","Created":5})";

// Mutates a valid text: truncates it, replaces or duplicates a piece, or overwrites a byte.
std::string mutated(std::string text, Random &random)
{
    static constexpr std::string_view Fragments[] = {"null",
                                                     "-1",
                                                     "1e999",
                                                     "[",
                                                     "}",
                                                     "\"",
                                                     "\\u0000",
                                                     "\xff",
                                                     "true",
                                                     "{}",
                                                     "0.5",
                                                     ",",
                                                     "18446744073709551616"};
    const uint64_t changes = 1 + random.below(3);
    for (uint64_t i = 0; i < changes && !text.empty(); ++i) {
        const size_t at = random.below(text.size());
        const size_t length = std::min<size_t>(random.below(12), text.size() - at);
        switch (random.below(4)) {
        case 0:
            text.resize(at);
            break;
        case 1:
            text.replace(at, length, Fragments[random.below(std::size(Fragments))]);
            break;
        case 2:
            text.insert(at, text.substr(at, length));
            break;
        default:
            text[at] = static_cast<char>(random.below(256));
        }
    }
    return text;
}

void checkEntry(const std::string &text)
{
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(const EndpointEntry entry, platform::decodeEndpoint("i-7", text));
            CHECK(entry.id.value == "i-7");
            CHECK_FALSE(entry.service.value.empty());
            CHECK(entry.address.port != 0);
            CHECK(entry.slots >= 1);
            CHECK(entry.start.unixMs >= 0);
            return {};
        },
        [](const FieldError &error) { CHECK_FALSE(toText(error).empty()); }, [] { FAIL("no reason"); });
}

void checkConfiguration(const std::string &text)
{
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(const ServingConfigurationPtr read, platform::decodeConfiguration(text));
            for (const Route &route : read->routes)
                CHECK_FALSE(route.targets.empty());
            return {};
        },
        [](const FieldError &error) { CHECK_FALSE(toText(error).empty()); }, [] { FAIL("no reason"); });
}

void checkReply(platform::StoreCodec &codec, const std::string &text, int status)
{
    StoreCall call;
    call.verb = StoreVerb::List;
    call.space = StoreSpace::Endpoints;
    const StoreReply reply = codec.decode(call, status, {}, text);
    for (const StoreItem &item : reply.items)
        CHECK((!item.isConfiguration || item.configuration));
}

} // namespace

TEST_CASE("randomly mutated external texts are decoded or rejected with a reason")
{
    RecordingLog log;
    platform::StoreCodec codec(log);
    const CrashNotice crashNotice{
        {{{5}, {EndpointId{"e"}, {1}}, false, {{6}, {7}}, {"v1"}}}, {{8}}, {{{9}, 10}}, {{{"v1"}, {{6}}}}};
    for (const uint64_t seed : Seeds) {
        Random random(seed);
        for (int i = 0; i < Rounds; ++i) {
            switch (random.below(5)) {
            case 0:
                checkEntry(mutated(Entry, random));
                break;
            case 1:
                checkConfiguration(mutated(Configuration, random));
                break;
            case 2:
                checkReply(codec, mutated(Reply, random), random.below(2) == 0 ? 200 : 412);
                break;
            case 3:
                CHECK(platform::decodeProbe({"i-7"}, 200, {}, mutated(Report, random)).start.unixMs >= 0);
                break;
            default:
                platform::decodeMigrationReply({1}, 200, mutated(Move, random));
                decodeDatagram(mutated(encodeDatagram(QuotaRequest{4, {"a"}, 12.5}), random));
                decodeDatagram(
                    mutated(encodeDatagram(StreamOriginNotice{{{"s"}, {"v1"}}, {{1}, {2}}}), random));
                decodeDatagram(
                    mutated(encodeDatagram(StreamOriginReply{3, StreamOrigin{{"s"}, {"v1"}}, {}}), random));
                decodeDatagram(mutated(encodeDatagram(crashNotice), random));
                versionsFromText(mutated(versionsText({7, {{{"s"}, {{{"v1"}, 0}}}}}), random));
            }
        }
        log.lines.clear();
    }
}
