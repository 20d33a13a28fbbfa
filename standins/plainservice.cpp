// Stand-in for a plain service beside the engines: answers look-ups and runs non-idempotent calls. Each
// execution of a call writes one log line, so that the checker can count them. Faults: down, silent, slowMs,
// full (answers 503 "not run"), workMs, dropAnswers (the next N calls run, then their connections are
// closed).

#include "standin.h"

#include <fmt/format.h>

namespace standin {

namespace {

class PlainService
{
public:
    explicit PlainService(Standin &standin) : standin_(standin) { }

    void onRequest(const HttpExchangePtr &exchange)
    {
        if (standin_.fault("full"))
            return exchange->respond(503, {{"X-Not-Run", "true"}}, "{\"error\":\"full\"}");
        const std::string body = exchange->request().body;
        standin_.log(fmt::format("run method={} target={} body={}", exchange->request().method,
                                 exchange->request().target, body));
        standin_.after(standin_.fault("workMs") ? standin_.fault("workMs") : 1, [this, exchange, body] {
            if (droppedAnswers_ < standin_.fault("dropAnswers")) {
                ++droppedAnswers_;
                return exchange->abort();
            }
            respondJson(exchange, 200,
                        boost::json::object{{"done", exchange->request().target}, {"echo", body}});
        });
    }

private:
    Standin &standin_;
    int64_t droppedAnswers_ = 0;
};

} // namespace

} // namespace standin

int main(int argc, const char **argv)
{
    standin::Standin standin("standin-plainservice", argc, argv);
    if (!standin.ok())
        return standin.exitCode();
    standin::PlainService service(standin);
    standin.serve([&service](const standin::HttpExchangePtr &exchange) { service.onRequest(exchange); });
    return 0;
}
