// Stand-in for a model engine: streamed chat completions in the OpenAI format, batching, priorities,
// cancellation by closing the connection, continuation of a final assistant message, and a prefix cache of
// limited size. The answer is a function of the prompt alone, so that every generation for a request yields
// the same text and callers can check it completely. Faults: down, silent, slowMs, breakAfterTokens (the
// connection is closed), hangAfterTokens (the stream stays open without further tokens), full (answers 503
// "not run"), tokenMs, tokens.

#include "standin.h"
#include "tokens.h"

#include <deque>
#include <fmt/format.h>
#include <list>
#include <map>
#include <xxhash.h>

namespace json = boost::json;

namespace standin {

namespace {

constexpr int64_t DefaultTokenMs = 4;
constexpr uint64_t DefaultTokens = 60;
constexpr size_t MaxBatch = 64;
constexpr size_t BlockBytes = 256;
constexpr size_t CacheBlocks = 4096;
constexpr double PrefillTokensPerMs = 40;

struct Generation {
    HttpExchangePtr exchange;
    uint64_t seed = 0;
    uint64_t nextToken = 0; ///< Index of the next token.
    uint64_t totalTokens = 0;
    uint64_t sentTokens = 0;
    uint64_t promptTokens = 0;
    uint64_t cachedTokens = 0;
    int64_t priority = 0;
    int64_t prefillDoneAtMs = 0;
    bool closed = false;
    bool isHanging = false;
};

using GenerationPtr = std::shared_ptr<Generation>;

class EngineStandin
{
public:
    explicit EngineStandin(Standin &standin) : standin_(standin) { }

    void onRequest(const HttpExchangePtr &exchange)
    {
        const cranberry::HttpTarget target = cranberry::parseTarget(exchange->request().target);
        if (target.path == "/v1/chat/completions")
            return complete(exchange);
        if (target.path == "/load")
            return respondJson(exchange, 200, json::object{{"running", batch_.size()}});
        respondJson(exchange, 404, json::object{{"error", "no such path"}});
    }

private:
    // Returns the tokens of the longest cached prefix of the prompt and caches all its blocks. The oldest
    // blocks are evicted first.
    uint64_t cachedTokens(const std::string &prompt)
    {
        uint64_t hash = 0;
        uint64_t cached = 0;
        bool isPrefixCached = true;
        for (size_t end = BlockBytes; end <= prompt.size(); end += BlockBytes) {
            hash = XXH3_64bits_withSeed(prompt.data() + end - BlockBytes, BlockBytes, hash);
            isPrefixCached = isPrefixCached && cache_.contains(hash);
            cached += isPrefixCached ? BlockBytes / 4 : 0;
            if (cache_.insert({hash, true}).second)
                insertionOrder_.push_back(hash);
        }
        while (insertionOrder_.size() > CacheBlocks) {
            cache_.erase(insertionOrder_.front());
            insertionOrder_.pop_front();
        }
        return cached;
    }

    void complete(const HttpExchangePtr &exchange)
    {
        const json::value body = parsed(exchange->request().body);
        const json::value *messages = body.as_object().if_contains("messages");
        if (!messages || !messages->is_array())
            return respondJson(exchange, 400, json::object{{"error", "messages are missing"}});
        if (standin_.fault("full") || batch_.size() >= MaxBatch)
            return exchange->respond(503, {{"X-Not-Run", "true"}}, "{\"error\":\"full\"}");
        const bool continues = body.as_object().contains("continue_final_message");
        std::string prompt;
        std::string prefix;
        for (size_t i = 0; i < messages->as_array().size(); ++i) {
            const std::string content(messages->as_array()[i].at("content").as_string());
            if (continues && i + 1 == messages->as_array().size())
                prefix = content;
            else
                prompt += content + "\n";
        }
        start(exchange, body, prompt, prefix);
    }

    void start(const HttpExchangePtr &exchange, const json::value &body, const std::string &prompt,
               const std::string &prefix)
    {
        GenerationPtr generation = std::make_shared<Generation>();
        generation->exchange = exchange;
        generation->seed = seedOf(prompt);
        const uint64_t requestedTokens
            = body.as_object().contains("max_tokens") ? body.at("max_tokens").to_number<uint64_t>() : 0;
        const uint64_t defaultTotal = standin_.fault("tokens") ? standin_.fault("tokens") : DefaultTokens;
        size_t skippedBytes = 0;
        while (skippedBytes < prefix.size()) {
            skippedBytes += tokenAt(generation->seed, generation->nextToken).size();
            ++generation->nextToken;
        }
        generation->totalTokens = requestedTokens ? generation->nextToken + requestedTokens
                                                  : std::max(defaultTotal, generation->nextToken);
        generation->promptTokens = (prompt.size() + prefix.size()) / 4;
        generation->cachedTokens = cachedTokens(prompt);
        generation->priority
            = body.as_object().contains("priority") ? body.at("priority").to_number<int64_t>() : 0;
        const double prefillTokens = static_cast<double>(
            generation->promptTokens - std::min(generation->promptTokens, generation->cachedTokens));
        generation->prefillDoneAtMs
            = standin_.nowMs() + static_cast<int64_t>(prefillTokens / PrefillTokensPerMs);
        standin_.log(fmt::format("start seed={:016x} from={} prompt={} cached={} fetch={}", generation->seed,
                                 generation->nextToken, generation->promptTokens, generation->cachedTokens,
                                 cranberry::headerOf(exchange->request().headers, "Kv-Fetch")));
        exchange->beginStream(200, {{"Content-Type", "text/event-stream"}});
        exchange->onClosed([this, generation] {
            generation->closed = true;
            standin_.log(
                fmt::format("cancelled seed={:016x} at={}", generation->seed, generation->nextToken));
        });
        batch_.push_back(generation);
        if (batch_.size() == 1)
            standin_.after(tokenMs(), [this] { step(); });
    }

    int64_t tokenMs() const { return standin_.fault("tokenMs") ? standin_.fault("tokenMs") : DefaultTokenMs; }

    // Runs one decode step: one token for each generation of the batch whose prefill is complete.
    void step()
    {
        for (const GenerationPtr &generation : std::list<GenerationPtr>(batch_))
            advance(*generation);
        batch_.remove_if([](const GenerationPtr &generation) { return generation->closed; });
        if (!batch_.empty())
            standin_.after(tokenMs(), [this] { step(); });
    }

    void advance(Generation &generation)
    {
        if (generation.closed || generation.isHanging || standin_.nowMs() < generation.prefillDoneAtMs)
            return;
        const int64_t breakAfter = standin_.fault("breakAfterTokens");
        if (breakAfter && generation.sentTokens >= static_cast<uint64_t>(breakAfter)) {
            generation.closed = true;
            return generation.exchange->abort();
        }
        const int64_t hangAfter = standin_.fault("hangAfterTokens");
        if (hangAfter && generation.sentTokens >= static_cast<uint64_t>(hangAfter)) {
            generation.isHanging = true;
            return;
        }
        if (generation.nextToken >= generation.totalTokens)
            return end(generation);
        const std::string token = tokenAt(generation.seed, generation.nextToken++);
        ++generation.sentTokens;
        generation.exchange->write(fmt::format("data: "
                                               "{{\"object\":\"chat.completion.chunk\",\"choices\":[{{"
                                               "\"index\":0,\"delta\":{{\"content\":\"{}\"}},"
                                               "\"finish_reason\":null}}]}}\n\n",
                                               token));
    }

    void end(Generation &generation)
    {
        generation.closed = true;
        const json::object usage{
            {"prompt_tokens", generation.promptTokens},
            {"completion_tokens", generation.sentTokens},
            {"prompt_tokens_details", json::object{{"cached_tokens", generation.cachedTokens}}}};
        const json::object chunk{
            {"object", "chat.completion.chunk"},
            {"choices",
             json::array{json::object{{"index", 0}, {"delta", json::object{}}, {"finish_reason", "stop"}}}},
            {"usage", usage}};
        generation.exchange->write(fmt::format("data: {}\n\ndata: [DONE]\n\n", json::serialize(chunk)));
        generation.exchange->finish();
        standin_.log(fmt::format("end seed={:016x} total={}", generation.seed, generation.nextToken));
    }

    Standin &standin_;
    std::list<GenerationPtr> batch_;
    std::map<uint64_t, bool> cache_;
    std::deque<uint64_t> insertionOrder_;
};

} // namespace

} // namespace standin

int main(int argc, const char **argv)
{
    standin::Standin standin("standin-engine", argc, argv);
    if (!standin.ok())
        return standin.exitCode();
    standin::EngineStandin engine(standin);
    standin.serve([&engine](const standin::HttpExchangePtr &exchange) { engine.onRequest(exchange); });
    return 0;
}
