#include "platform/documents.h"
#include "platform/leadertasks.h"
#include "platform/requests.h"
#include "platform/storecodec.h"

#include "gateway/gatewaysettings.h"
#include "gatewayfixture.h"

using namespace cranberry;

namespace {

HttpRequest makeHttp(HttpHeaders extra = {})
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/lohu930/2f?x=1";
    request.headers = {{"Host", "ficu95.example"}, {"X-Request-Id", "9c41"}};
    request.headers.insert(request.headers.end(), extra.begin(), extra.end());
    request.body = "body";
    return request;
}

// Returns the path of the invalid field, or an empty string if the request is valid.
std::string invalidField(const HttpRequest &request)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(platform::decodeRequest(request));
            return std::string();
        },
        [](const FieldError &error) { return error.path; }, [] { return std::string("?"); });
}

// Returns the result of `parse`, or nothing with the error's text in `wrong`.
template <typename Value, typename Parse>
std::optional<Value> valueOf(Parse parse, std::string *errorText = nullptr)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<Value>> {
            BOOST_LEAF_ASSIGN(Value value, parse());
            return std::optional<Value>(std::move(value));
        },
        [&](const FieldError &error) {
            if (errorText)
                *errorText = toText(error);
            return std::optional<Value>();
        },
        [] { return std::optional<Value>(); });
}

std::optional<CallerRequestPtr> decoded(const HttpRequest &request)
{
    return valueOf<CallerRequestPtr>([&] { return platform::decodeRequest(request); });
}

std::optional<ServingConfigurationPtr> configurationFrom(const std::string &text,
                                                         std::string *errorText = nullptr)
{
    return valueOf<ServingConfigurationPtr>([&] { return platform::decodeConfiguration(text); }, errorText);
}

std::optional<GatewayDaemonSettings> settingsFrom(const std::string &text, std::string *errorText = nullptr)
{
    return valueOf<GatewayDaemonSettings>([&] { return parseGatewaySettings(text); }, errorText);
}

constexpr const char *ConfigurationText = R"({"Version":7,"Routes":[
  {"Name":"r1","Host":"h","Prefix":"/a/","Kind":"streaming","TimeoutMs":12000,"TargetLatencyMs":1200,"Priority":1,
   "TrafficSplit":[{"Service":"s1","Weight":90},{"Service":"s2","Weight":10}],"Attempts":1,"CanResume":true,"GapTargetMs":500},
  {"Name":"r2","Host":"h","Prefix":"/a/b/","Kind":"idempotent","Service":"s2","Attempts":2,"Anonymous":true}],
 "Services":[{"Name":"s1","MaxConnections":370,"Engine":{"Slots":64,"KvCapacityTokens":536091,"Moves":true,"Stride":3,
   "KvBytes":196608,"LinkMbps":300000},
   "Scaling":{"Min":1,"Max":6,"BootDelayS":4.5,"SpotPrice":0.15,"ZonePrices":{"leioa":1.0,"deusto":1.25}}},{"Name":"s2"}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
 "Tenants":[{"Name":"t","ApiKeys":["k1","k2"],"Priority":1,"Unit":"token_stream","PlainTokens":200,"RatePerS":184580,"Burst":1000}],
 "Unknown":{"later":1}})";

} // namespace

TEST_CASE("a caller's request is decoded without the headers that only the gateway sets")
{
    const std::optional<CallerRequestPtr> request
        = decoded(makeHttp({{"Authorization", "Bearer secret"},
                            {"X-Deadline-Ms", "1500"},
                            {"X-Token-Count", "1460,80"},
                            {"X-Prompt-Prefix", "5c1e:800,91bd:410"},
                            {"Last-Event-Id", "12"},
                            {"X-Tenant", "somebody else"},
                            {"Kv-From", "10.0.0.1:1/x"},
                            {"kv-fetch", "10.0.0.1:1"},
                            {"X-Hold", "h"},
                            {"Connection", "close, X-Private"},
                            {"X-Private", "1"},
                            {"Resumes", "7be0"},
                            {"Accept", "text/plain"}}));
    REQUIRE(request);
    const CallerRequest &out = **request;
    CHECK(out.path == "/lohu930/2f");
    CHECK(out.target == "/lohu930/2f?x=1");
    CHECK(out.key == "secret");
    CHECK(out.deadline->count == 1500);
    CHECK(out.promptTokens == 1460);
    CHECK(out.outputTokens == 80);
    CHECK(out.parts.size() == 2);
    CHECK(out.resumeAfter == 12);
    CHECK(out.resumes == "7be0");
    for (const char *name : {"Authorization", "X-Tenant", "Kv-From", "Kv-Fetch", "X-Hold", "Connection",
                             "X-Private", "X-Deadline-Ms"})
        CHECK_MESSAGE(headerOf(out.forwarded, name).empty(), name);
    CHECK(headerOf(out.forwarded, "Accept") == "text/plain");
    CHECK(headerOf(out.forwarded, "X-Token-Count") == "1460,80");
}

TEST_CASE("a malformed request is rejected with the name of the invalid header")
{
    CHECK(invalidField(makeHttp()).empty());
    CHECK(invalidField(makeHttp({{"host", "other.example"}})) == "host");
    CHECK(invalidField(makeHttp({{"X-Request-Id", "again"}})) == "X-Request-Id");
    CHECK(invalidField(makeHttp({{"X-Deadline-Ms", "soon"}})) == "X-Deadline-Ms");
    CHECK(invalidField(makeHttp({{"X-Token-Count", "12"}})) == "X-Token-Count");
    CHECK(invalidField(makeHttp({{"X-Token-Count", "12,-4"}})) == "X-Token-Count");
    CHECK(invalidField(makeHttp({{"X-Prompt-Prefix", "abc"}})) == "X-Prompt-Prefix");
    CHECK(invalidField(makeHttp({{"Last-Event-Id", "x"}})) == "Last-Event-Id");
    CHECK(invalidField(makeHttp({{"Resumes", "a"}, {"resumes", "b"}})) == "resumes");
    CHECK(invalidField(makeHttp({{"Resumes", ""}})).empty());
    HttpRequest noId = makeHttp();
    noId.headers.pop_back();
    CHECK(invalidField(noId) == "X-Request-Id");
}

TEST_CASE("an attempt carries the headers that the gateway sets")
{
    SendAttempt order;
    order.request = *decoded(makeHttp({{"X-Deadline-Ms", "9000"}}));
    order.endpoint.value = "i-7";
    order.remaining = {400};
    order.organisation.value = "t";
    order.urgency = 2;
    order.resumeAfter = 12;
    order.migratedKvCache = MigratedKvCache{{"10.0.0.2", 8080}, "h9"};
    CHECK(headerOf(platform::encodeAttempt(order).headers, "Kv-Fetch").empty());
    order.fetchFrom = Address{"10.0.0.3", 8080};
    const HttpRequest out = platform::encodeAttempt(order);
    CHECK(headerOf(out.headers, "Kv-Fetch") == "10.0.0.3:8080");
    CHECK(headerOf(out.headers, "X-Deadline-Ms") == "400");
    CHECK(headerOf(out.headers, "X-Expect-Instance") == "i-7");
    CHECK(headerOf(out.headers, "X-Tenant") == "t");
    CHECK(headerOf(out.headers, "X-Request-Priority") == "2");
    CHECK(headerOf(out.headers, "Last-Event-Id") == "12");
    CHECK(headerOf(out.headers, "Kv-From") == "10.0.0.2:8080/h9");
    CHECK(out.body == "body");
}

// Guards against a generation that is stopped by the call that is only to copy its KV cache.
TEST_CASE("a call to copy a KV cache stops the generation only in the second step")
{
    MigrateGeneration call;
    call.requestId = "9c41";
    call.target = {"10.0.0.3", 8080};
    HttpRequest out = platform::encodeMigration(call);
    CHECK(out.method == "POST");
    CHECK(out.target == "/kv-move");
    CHECK(out.body == R"({"Id":"9c41","Target":"10.0.0.3:8080"})");
    call.step = MigrationStep::Stop;
    out = platform::encodeMigration(call);
    CHECK(out.body == R"({"Id":"9c41","Target":"10.0.0.3:8080","Last":true})");
    const GenerationMigrated reply
        = platform::decodeMigrationReply({1}, 200, R"({"Handle":"h1","Created":7})");
    CHECK(reply.outcome == MigrationOutcome::Migrated);
    CHECK(reply.handle == "h1");
    CHECK(reply.eventsMade == 7);
    const HttpRequest release = platform::encodeRelease({{{"10.0.0.2", 8080}, "h1"}, {}, {}});
    CHECK(release.method == "DELETE");
    CHECK(release.target == "/kv-handle/h1");
}

TEST_CASE("the head of an engine's response tells whether the request ran there")
{
    const CallerRequestPtr request = *decoded(makeHttp());
    AttemptHead head = platform::decodeHead({1}, *request, 503, {{"X-Not-Executed", "1"}});
    CHECK(head.notExecuted);
    CHECK(head.matchesRequest);
    head = platform::decodeHead({1}, *request, 421, {});
    CHECK(head.wrongInstance);
    head = platform::decodeHead({1}, *request, 200,
                                {{"X-Request-Id", "9c41"}, {"Content-Type", "text/event-stream"}});
    CHECK(head.eventStream);
    CHECK(head.matchesRequest);
    head = platform::decodeHead({1}, *request, 200, {{"X-Request-Id", "other"}});
    CHECK_FALSE(head.matchesRequest);
    head = platform::decodeHead({1}, *request, 200, {});
    CHECK_FALSE(head.matchesRequest);
}

// Guards against a length that vouches for an answer that was cut short.
TEST_CASE("a response without a length or chunks is known as unframed, whatever its status")
{
    CallerRequest request;
    const auto isUnframed = [&request](int status, const HttpHeaders &headers) {
        return platform::decodeHead({1}, request, status, headers).isUnframed;
    };
    CHECK(isUnframed(200, {}));
    CHECK(isUnframed(201, {}));
    CHECK(isUnframed(404, {}));
    CHECK(isUnframed(200, {{"Transfer-Encoding", "gzip"}}));
    CHECK(isUnframed(200, {{"Transfer-Encoding", "chunked, gzip"}}));
    CHECK_FALSE(isUnframed(200, {{"Transfer-Encoding", "gzip, Chunked"}}));
    CHECK_FALSE(isUnframed(200, {{"transfer-encoding", "chunked"}}));
    CHECK_FALSE(isUnframed(200, {{"Content-Length", "0"}}));
    CHECK_FALSE(isUnframed(204, {}));
    CHECK_FALSE(isUnframed(304, {}));
    request.method = "HEAD";
    CHECK_FALSE(isUnframed(200, {}));
}

TEST_CASE("an invalid Server-Limit header gives an error and no limit")
{
    const CallerRequestPtr request = *decoded(makeHttp());
    const auto decode = [&request](const std::vector<std::string> &values) {
        HttpHeaders headers = {{"X-Request-Id", "9c41"}};
        for (const std::string &value : values)
            headers.push_back({"server-limit", value});
        return platform::decodeHead({1}, *request, 200, headers);
    };
    CHECK_FALSE(decode({}).limit);
    CHECK_FALSE(decode({}).limitError);
    CHECK(decode({"1.1"}).limit == RequestRate{1.1});
    CHECK(decode({"0"}).limit == RequestRate{0});
    CHECK(decode({"120"}).limit == RequestRate{120});
    CHECK(decode({"1.5", "1.5"}).limit == RequestRate{1.5});
    for (const char *bad : {"", "-1", "+1", "nan", "inf", "1e9", "0x1", "1,5", "1.2.3", ".5", "5.", "two"}) {
        INFO(bad);
        CHECK_FALSE(decode({bad}).limit);
        REQUIRE(decode({bad}).limitError);
        CHECK(decode({bad}).limitError->path == "Server-Limit");
    }
    CHECK_FALSE(decode({"1", "2"}).limit);
    CHECK(decode({"1", "2"}).limitError);
    CHECK(decode({"x", "1"}).limitError);
}

TEST_CASE("an invalid Server-Brittle header gives an error and no number of rejections")
{
    const CallerRequestPtr request = *decoded(makeHttp());
    const auto decode = [&request](const std::vector<std::string> &values) {
        HttpHeaders headers = {{"X-Request-Id", "9c41"}};
        for (const std::string &value : values)
            headers.push_back({"server-brittle", value});
        return platform::decodeHead({1}, *request, 503, headers);
    };
    CHECK_FALSE(decode({}).maxRejections);
    CHECK_FALSE(decode({}).maxRejectionsError);
    CHECK(decode({"12"}).maxRejections == 12);
    CHECK(decode({"12", "12"}).maxRejections == 12);
    for (const char *bad : {"", "0", "-1", "+1", "1.5", "nan", "inf", "1e3", "0x1", "two", "99999999999"}) {
        INFO(bad);
        CHECK_FALSE(decode({bad}).maxRejections);
        REQUIRE(decode({bad}).maxRejectionsError);
        CHECK(decode({bad}).maxRejectionsError->path == "Server-Brittle");
    }
    CHECK_FALSE(decode({"1", "2"}).maxRejections);
    CHECK(decode({"1", "2"}).maxRejectionsError);
}

TEST_CASE("the configuration is decoded; unknown fields are ignored")
{
    const std::optional<ServingConfigurationPtr> read = configurationFrom(ConfigurationText);
    REQUIRE(read);
    const ServingConfiguration &configuration = **read;
    CHECK(configuration.version == 7);
    const Route *route = configuration.findRoute("h", "/a/x");
    REQUIRE(route);
    CHECK(route->kind == RouteKind::Streaming);
    CHECK(route->targets.size() == 2);
    CHECK(route->resumable);
    CHECK(configuration.findRoute("h", "/a/b/x")->name == "r2");
    CHECK_FALSE(configuration.findRoute("h", "/other/"));
    CHECK_FALSE(configuration.findRoute("g", "/a/x"));
    CHECK(configuration.findByKey("k2")->ratePerSecond == 184580);
    const ServedService *service = configuration.findService({"s1"});
    CHECK(service->engine->migratesGenerations);
    CHECK(service->engine->kvBytesPerToken == 196'608);
    CHECK(service->engine->linkMbps == 300'000);
    CHECK(service->scaling->bootDelay.count == 4500);
    CHECK(service->scaling->prices.at({"deusto"}) == 1.25);
    CHECK(configuration.limits.idleTimeout.count == 15000);
}

TEST_CASE("an invalid configuration is rejected with the field's name")
{
    std::string errorText;
    std::string text = ConfigurationText;
    text.replace(text.find("\"streaming\""), 11, "\"sometimes\"");
    CHECK_FALSE(configurationFrom(text, &errorText));
    CHECK(errorText == "Routes[0].Kind: is not a known kind");
    CHECK_FALSE(configurationFrom("{\"Routes\":[", &errorText));

    // In the store codec, an unreadable configuration is not reported as a configuration, so it does not
    // confirm the previous one either.
    RecordingLog log;
    platform::StoreCodec codec(log);
    StoreCall call;
    call.verb = StoreVerb::List;
    const std::string body
        = R"({"Items":[{"Key":"op/config","Value":"eyJWIjoxfQ==","Revision":9}],"Truncated":false})";
    const StoreReply reply = codec.decode(call, 200, {}, body);
    REQUIRE(reply.items.size() == 1);
    CHECK_FALSE(reply.items[0].isConfiguration);
    CHECK(log.count("configuration_unreadable") == 1);
    codec.decode(call, 200, {}, body);
    CHECK(log.count("configuration_unreadable") == 1);
}

TEST_CASE("store calls are encoded and replies decoded")
{
    RecordingLog log;
    platform::StoreCodec codec(log);
    StoreCall call;
    call.verb = StoreVerb::Write;
    call.conditions.push_back({StoreSpace::Control, "leader", 0});
    call.puts.push_back({StoreSpace::Control, "leader", "node-1", 77});
    const HttpRequest request = platform::StoreCodec::encode(call);
    CHECK(request.target == "/kv-txn");
    CHECK(request.body.text().find("\"Value\":\"bm9kZS0x\"") != std::string::npos);
    CHECK(request.body.text().find("\"Key\":\"own/leader\"") != std::string::npos);
    const StoreReply conflict = codec.decode(
        call, 412, {}, R"({"Items":[{"Key":"own/leader","Value":"bm9kZS0x","Revision":412,"Lease":77}]})");
    CHECK(conflict.outcome == StoreOutcome::Conflict);
    CHECK(conflict.items[0].key == "leader");
    CHECK(conflict.items[0].value == "node-1");
    CHECK(codec.decode(call, 200, {}, R"({"Revision":413})").revision == 413);
    CHECK(codec.decode(call, 404, {}, "").outcome == StoreOutcome::NotFound);
    CHECK(codec.decode(call, 503, {}, "").outcome == StoreOutcome::Refused);
    CHECK(codec.decode(call, 429, {}, "").outcome == StoreOutcome::Refused);
    CHECK(codec.decode(call, 0, {}, "").outcome == StoreOutcome::NoReply);

    call = {};
    call.verb = StoreVerb::List;
    call.space = StoreSpace::Endpoints;
    CHECK(platform::StoreCodec::encode(call).target == "/kv-range?Prefix=servers/");
    const StoreReply list = codec.decode(
        call, 200, {},
        R"({"Items":[{"Key":"servers/i-7","Value":"eyJTZXJ2aWNlIjoicyIsIkFkZHJlc3MiOiIxMC4wLjAuOTo4MCIsIlpvbmUiOiJ6IiwiVmVyc2lvbiI6InYxIiwiU2xvdHMiOjY0LCJTdGF0ZSI6ImRyYWluaW5nIiwiQ29sZFJlbWFpbmluZ01zIjowLCJTZXEiOjQsImJvcm4iOjE3NjQ3MDAwMDAwMDAsImxlYXZlc19tcyI6MjAwMH0=","Revision":5},
           {"Key":"servers/i-8","Value":"e30=","Revision":6}],"Truncated":true})");
    REQUIRE(list.items.size() == 2);
    REQUIRE(list.items[0].endpoint);
    CHECK(list.items[0].endpoint->leaving);
    CHECK(list.items[0].endpoint->leavesAfter->count == 2000);
    CHECK(list.items[0].endpoint->start.unixMs == 1764700000000);
    REQUIRE(list.items[1].endpoint);
    CHECK(list.items[1].endpoint->id.value == "i-8");
    CHECK_FALSE(list.items[1].endpoint->readable);
    CHECK(list.nextPage == "servers/i-8");
    CHECK(codec.decode(call, 200, {}, "not json").outcome == StoreOutcome::NoReply);
}

// Guards against a list that is taken for empty, or a write for one without a revision, when a reply without
// framing is cut short: its end then looks like that of a whole one.
TEST_CASE("a reply of the store that is cut at any byte is no reply")
{
    RecordingLog log;
    platform::StoreCodec codec(log);
    const std::string replies[] = {R"({"Items":[],"Truncated":false,"CurrentRev":7})", R"({"Revision":7})",
                                   R"({"Lease":3,"TtlMs":5000})"};
    const StoreVerb verbs[] = {StoreVerb::List, StoreVerb::Write, StoreVerb::GrantLease};
    for (size_t i = 0; i < std::size(verbs); ++i) {
        StoreCall call;
        call.verb = verbs[i];
        for (size_t cut = 0; cut < replies[i].size(); ++cut) {
            CAPTURE(replies[i].substr(0, cut));
            CHECK(codec.decode(call, 200, {}, replies[i].substr(0, cut)).outcome == StoreOutcome::NoReply);
            CHECK(codec.decode(call, 412, {}, replies[i].substr(0, cut)).outcome == StoreOutcome::NoReply);
        }
        CHECK(codec.decode(call, 200, {}, replies[i]).outcome == StoreOutcome::Done);
    }
    StoreCall list;
    list.verb = StoreVerb::List;
    CHECK(codec.decode(list, 200, {}, "{}").outcome == StoreOutcome::NoReply);
}

TEST_CASE("an invalid roll-out order is rejected with the field's name, and the previous order stays")
{
    const auto errorOf = [](const std::string &text) {
        std::string errorText;
        CHECK_FALSE(valueOf<RolloutOrder>([&] { return platform::decodeRollout("s", text); }, &errorText));
        return errorText;
    };
    const std::optional<RolloutOrder> order = valueOf<RolloutOrder>(
        [] { return platform::decodeRollout("s", R"({"Service":"s","Target":"v2","DurationS":12})"); });
    REQUIRE(order);
    CHECK(order->target.value == "v2");
    CHECK(order->duration.count == 12'000);
    CHECK(errorOf(R"({"Service":"s","Target":"v2","DurationS":0})") == "s.DurationS: must be above 0");
    CHECK(errorOf(R"({"Service":"s","Target":"","DurationS":9})") == "s.Target: must not be empty");
    CHECK(errorOf(R"({"Service":"t","Target":"v2","DurationS":9})")
          == "s.Service: is not the one that the key names");
    CHECK(errorOf(R"({"Service":"s","DurationS":9})").starts_with("s.Target"));
    CHECK_FALSE(errorOf("[]").empty());

    RecordingLog log;
    platform::StoreCodec codec(log);
    StoreCall call;
    call.verb = StoreVerb::List;
    const auto targetIn = [&](const std::string &encoded, int revision) {
        const std::string body = R"({"Items":[{"Key":"op/rollout/s","Value":")" + encoded + R"(","Revision":)"
            + std::to_string(revision) + R"(}],"Truncated":false})";
        return codec.decode(call, 200, {}, body).items.at(0).rollout.value_or(RolloutOrder{}).target.value;
    };
    // {"Service":"s","Target":"v2","DurationS":12}, then an order for v3 with the invalid duration 0.
    CHECK(targetIn("eyJTZXJ2aWNlIjoicyIsIlRhcmdldCI6InYyIiwiRHVyYXRpb25TIjoxMn0=", 5) == "v2");
    CHECK(targetIn("eyJTZXJ2aWNlIjoicyIsIlRhcmdldCI6InYzIiwiRHVyYXRpb25TIjowfQ==", 6) == "v2");
    CHECK(targetIn("eyJTZXJ2aWNlIjoicyIsIlRhcmdldCI6InYzIiwiRHVyYXRpb25TIjowfQ==", 6) == "v2");
    CHECK(log.count("rollout_unreadable") == 1);
}

TEST_CASE("a store write includes the roll-out status")
{
    StoreCall call;
    call.verb = StoreVerb::Write;
    call.rolloutStatus = RolloutStatus{{"s"}, {"v2"}, RolloutStage::Emptying};
    const std::string body = platform::StoreCodec::encode(call).body.text();
    CHECK(body.find("status/rollout/s") != std::string::npos);
    CHECK(platform::encodeRolloutStatus(*call.rolloutStatus)
          == R"({"Service":"s","Target":"v2","State":"running"})");
    CHECK(platform::encodeRolloutStatus({{"s"}, {"v2"}, RolloutStage::Completed}).find("completed")
          != std::string::npos);
    CHECK(platform::encodeRolloutStatus({{"s"}, {"v2"}, RolloutStage::RolledBack}).find("rolled_back")
          != std::string::npos);
}

TEST_CASE("the store's era is decoded from each reply; an invalid one is ignored and logged once")
{
    RecordingLog log;
    platform::StoreCodec codec(log);
    StoreCall call;
    call.verb = StoreVerb::List;
    const std::string body = R"({"Items":[],"Truncated":false})";
    CHECK(codec.decode(call, 200, {{"Store-Era", "3"}}, body).era == 3);
    CHECK(codec.decode(call, 503, {{"store-era", "4"}}, "").era == 4);
    CHECK_FALSE(codec.decode(call, 200, {}, body).era);
    for (const char *invalidEra : {"-1", "4x", "1e3", "99999999999999999999"}) {
        const StoreReply reply = codec.decode(call, 200, {{"Store-Era", invalidEra}}, body);
        CHECK_FALSE(reply.era);
        CHECK(reply.outcome == StoreOutcome::Done);
        codec.decode(call, 200, {{"Store-Era", invalidEra}}, body);
    }
    CHECK(log.count("store_era_unreadable") == 4);
}

TEST_CASE("a configuration with a revision that an earlier era used for another one is decoded")
{
    // The store was restored from an older state and reuses revision 9 for another configuration.
    RecordingLog log;
    platform::StoreCodec codec(log);
    StoreCall call;
    call.verb = StoreVerb::List;
    const auto read = [&](const char *era, const std::string &encoded) {
        const std::string body = R"({"Items":[{"Key":"op/config","Value":")" + encoded
            + R"(","Revision":9}],"Truncated":false})";
        return codec.decode(call, 200, {{"Store-Era", era}}, body).items.at(0).configuration->version;
    };
    CHECK(read("1", "eyJWZXJzaW9uIjo3LCJSb3V0ZXMiOltdLCJTZXJ2aWNlcyI6W119") == 7);
    CHECK(read("2", "eyJWZXJzaW9uIjo4LCJSb3V0ZXMiOltdLCJTZXJ2aWNlcyI6W119") == 8);
}

namespace {

constexpr const char *EntryText
    = R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Version":"v1","Slots":64,
 "State":"ready","ColdRemainingMs":0,"Stage":"prefill_decode","Models":[],"Seq":4,"born":1764700000000})";

std::optional<EndpointEntry> entryFrom(const std::string &text, std::string *errorText = nullptr)
{
    return valueOf<EndpointEntry>([&] { return platform::decodeEndpoint("i-7", text); }, errorText);
}

// Returns the entry with `field` replaced by `value`, or without the field if there is no value.
std::string entryWith(const std::string &field, const std::optional<std::string> &value)
{
    boost::json::object entry = boost::json::parse(EntryText).as_object();
    entry.erase(field);
    if (value)
        entry[field] = boost::json::parse(*value);
    return boost::json::serialize(entry);
}

} // namespace

TEST_CASE("an endpoint's entry is rejected if any mandatory field is missing or invalid")
{
    // Guards against entries of other writers under an endpoint's key, with a field that is missing, of the
    // wrong type or out of range. If used, they would send callers' requests to an unrelated process.
    std::string errorText;
    const std::optional<EndpointEntry> entry = entryFrom(EntryText, &errorText);
    REQUIRE_MESSAGE(entry, errorText);
    CHECK(entry->start.unixMs == 1764700000000);
    CHECK_FALSE(entry->leaving);
    CHECK(entryFrom(entryWith("State", "\"draining\""))->leaving);
    CHECK(entryFrom(entryWith("born", std::nullopt))->start.unixMs == 0);
    for (const char *field :
         {"Service", "Address", "Zone", "Version", "Slots", "State", "ColdRemainingMs", "Seq"}) {
        CHECK_FALSE_MESSAGE(entryFrom(entryWith(field, std::nullopt), &errorText), field);
        CHECK(errorText == std::string("i-7.") + field + ": is missing");
        for (const char *other : {"null", "[]", "{}", "true"})
            CHECK_FALSE_MESSAGE(entryFrom(entryWith(field, other)), field, " ", other);
    }
    for (const char *state : {"\"\"", "\"Ready\"", "\"gone\"", "1"})
        CHECK_FALSE(entryFrom(entryWith("State", state)));
    for (const char *start : {"-1", "0", "1.5", "\"1764700000000\"", "1e300", "null"})
        CHECK_FALSE_MESSAGE(entryFrom(entryWith("born", start)), start);
    for (const char *slots : {"0", "-3", "1.5", "1e12", "\"64\""})
        CHECK_FALSE_MESSAGE(entryFrom(entryWith("Slots", slots)), slots);
    for (const char *address : {"\"\"", "\"10.0.0.9\"", "\"10.0.0.9:0\"", "\"10.0.0.9:99999\"", "\"x:y\""})
        CHECK_FALSE_MESSAGE(entryFrom(entryWith("Address", address)), address);
    for (const std::string &text : {std::string(), std::string("{"), std::string("[]"), std::string("7"),
                                    std::string("\xff\xfe\x00", 3), std::string(1U << 20U, ' '),
                                    std::string(1U << 20U, '['), std::string(EntryText) + "x"})
        CHECK_FALSE(entryFrom(text));
    // The JSON library uses the last of duplicate fields; that one has to be valid.
    std::string twice = EntryText;
    twice.insert(1, "\"State\":\"ready\",");
    CHECK(entryFrom(twice));
    twice.replace(twice.rfind("\"ready\""), 7, "7");
    CHECK_FALSE(entryFrom(twice));
}

TEST_CASE("an endpoint's entry that is long, or whose id would end a header, is rejected")
{
    // Parsed, a list of numbers takes twelve times its text; an id with a line break would begin a header of
    // another request.
    const std::string entry
        = R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Version":"v1","Slots":4,"State":"ready",
"ColdRemainingMs":0,"Seq":1,"Models":")";
    const auto isRead = [](const std::string &id, const std::string &text) {
        return valueOf<EndpointEntry>([&] { return platform::decodeEndpoint(id, text); }).has_value();
    };
    CHECK(isRead("i-1", entry + std::string(60'000, 'm') + "\"}"));
    CHECK(!isRead("i-1", entry + std::string(70'000, 'm') + "\"}"));
    CHECK(!isRead("i-1\r\nX-Tenant: other", entry + "\"}"));
    CHECK(!isRead(std::string("i\0", 2), entry + "\"}"));
}

TEST_CASE("a time in a report that is too large for a time is cut")
{
    for (const char *number : {"1e300", "-1e300", "1e18"}) {
        const EngineProbed probed = platform::decodeProbe(
            {"i-1"}, 200, {}, std::string(R"({"State":"draining","leaves_ms":)") + number + "}");
        REQUIRE(probed.leavesAfter);
        CHECK(probed.leavesAfter->count >= 0);
        CHECK(probed.leavesAfter->count <= 1'000'000'000);
    }
}

TEST_CASE("an unreadable entry is logged once per revision")
{
    RecordingLog log;
    platform::StoreCodec codec(log);
    StoreCall call;
    call.verb = StoreVerb::List;
    call.space = StoreSpace::Endpoints;
    for (const char *body : {R"({"Items":[{"Key":"servers/i-8","Value":"e30=","Revision":6}]})",
                             R"({"Items":[{"Key":"servers/i-8","Value":"e30=","Revision":6}]})",
                             R"({"Items":[{"Key":"servers/i-8","Value":"not base64!","Revision":7}]})",
                             R"({"Items":[{"Key":"servers/i-8","Value":5,"Revision":7}]})"}) {
        const StoreReply reply = codec.decode(call, 200, {}, body);
        REQUIRE(reply.items.size() == 1);
        REQUIRE(reply.items[0].endpoint);
        CHECK_FALSE(reply.items[0].endpoint->readable);
    }
    CHECK(log.count("endpoint_unreadable") == 2);
}

TEST_CASE("a report identifies the engine's process by its start time")
{
    const EngineProbed probed
        = platform::decodeProbe({"i-7"}, 200, {}, R"({"State":"draining","born":17,"leaves_ms":900})");
    CHECK(probed.answered);
    CHECK(probed.leaving);
    CHECK(probed.start.unixMs == 17);
    CHECK(platform::decodeProbe({"i-7"}, 200, {}, R"({"born":"17"})").start.unixMs == 0);
    CHECK(platform::decodeProbe({"i-7"}, 200, {}, R"({"born":1.5})").start.unixMs == 0);
}

TEST_CASE("leader tasks and migrations are encoded, and their replies decoded")
{
    LeaderCall call;
    call.fencingToken = 12;
    call.usage = UsageReport{353, {{{"a"}, 412}}};
    HttpRequest request = platform::encodeLeaderCall(call, {"front-1"});
    CHECK(request.target == "/usage");
    CHECK(headerOf(request.headers, "X-Fence-Token") == "12");
    CHECK(request.body == R"({"WindowId":353,"Counts":{"a":412}})");
    call.usage.reset();
    call.order = EngineOrder{{"s"}, {"z"}, 6, true};
    request = platform::encodeLeaderCall(call, {"front-1"});
    CHECK(request.target == "/scale");
    CHECK(request.body == R"({"Service":"s","Zone":"z","DesiredCount":6,"Spot":true})");
    CHECK(platform::decodeLeaderCallStatus(409) == LeaderCallOutcome::NoneAvailable);
    CHECK(platform::decodeLeaderCallStatus(0) == LeaderCallOutcome::NoReply);

    CHECK(platform::decodeMigrationReply({1}, 200, R"({"Handle":"h","Created":5})").outcome
          == MigrationOutcome::Migrated);
    CHECK(platform::decodeMigrationReply({1}, 200, R"({"Handle":17})").handle == "17");
    CHECK(platform::decodeMigrationReply({1}, 200, "{}").outcome == MigrationOutcome::NoReply);
    CHECK(platform::decodeMigrationReply({1}, 404, "").outcome == MigrationOutcome::NoSuchGeneration);
    CHECK(platform::decodeMigrationReply({1}, 503, R"({"Handle":"h"})").outcome
          == MigrationOutcome::NoCapacity);
}

TEST_CASE("settings: the error names a missing, invalid or unknown field")
{
    const std::string good = R"({"instance":"f","failureDomain":"z","callerAddress":"10.0.0.1:1",
        "readinessAddress":"10.0.0.1:2","entryAddress":"10.0.0.1:3","peerAddress":"10.0.0.1:4",
        "storeAddress":"10.0.0.2:1","dutyAddress":"","revokeBoundMs":5000,"stopGraceSeconds":8})";
    std::string errorText;
    const std::optional<GatewayDaemonSettings> settings = settingsFrom(good, &errorText);
    REQUIRE_MESSAGE(settings, errorText);
    CHECK(settings->stopGrace.count == 8000);
    CHECK(settings->leaderCallAddress.port == 0);
    std::string text = good;
    text.replace(text.find("\"failureDomain\":\"z\","), 20, "");
    CHECK_FALSE(settingsFrom(text, &errorText));
    CHECK(errorText == "failureDomain: is missing");
    text = good;
    text.replace(text.find("5000"), 4, "\"x\"");
    CHECK_FALSE(settingsFrom(text, &errorText));
    CHECK(errorText == "revokeBoundMs: must be a number");
    text = good;
    text.replace(text.find("stopGraceSeconds"), 16, "stopGraceSecond");
    CHECK_FALSE(settingsFrom(text, &errorText));
    CHECK(errorText == "stopGraceSecond: is not a known field");
}

TEST_CASE("an empty list of tenants is told from a missing one")
{
    const std::string open = R"({"Version":1,"Routes":[],"Services":[]})";
    const std::string nobody = R"({"Version":1,"Routes":[],"Services":[],"Tenants":[]})";
    REQUIRE(configurationFrom(open));
    REQUIRE(configurationFrom(nobody));
    CHECK_FALSE((*configurationFrom(open))->requiresKeys());
    CHECK((*configurationFrom(nobody))->requiresKeys());
}
