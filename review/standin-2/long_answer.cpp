// SIGTERM of a sender while a client still reads the answer to its request over a slow link.
#include <signal.h>

#include <string>

#include "stage.hpp"

using namespace review;

int main(int, char** argv) {
    openRecord(argv[1]);
    constexpr size_t kBytes = 512u << 10;
    constexpr long kBytesPerSecond = 125'000;  // 1 Mbit/s: 4.2 s for the whole answer
    constexpr int kClients = 6;
    const std::vector<ServicePlan> services = {{"floorcheck", 8, 1024, 134, 300}};
    const std::string text(kBytes, 'x');
    Stage* stage = nullptr;
    auto serve = [&](Arrival& a) {
        stage->platform->ran(a);
        sleepMs(80);
        return a.wire.write(answer200(a.endpoint, a.attempt, text));
    };
    Stage all(1, 3, services, serve);
    stage = &all;
    all.startAll();
    all.put(configuration(1, {{"/stock-peek/", "floorcheck", true, 2, 2, 10000, 400}}, services));
    all.waitReady();
    {  // an endpoint is up before the play
        Reply r = ask(all.edges[0].ip, all.front,
                      request("GET", "shop.example", "/stock-peek/first", freshAttempt(), 8000), 9000);
        note("client gets %d and %zu bytes for the first request", r.status, r.body.size());
        if (r.status != 200) cannotRun("the first request was not served");
    }
    std::atomic<int> whole{0}, cut{0}, never{0}, begun{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i)
        clients.emplace_back([&, i] {
            // The segments and the small window of a network link, not those of the machine's loopback.
            auto wire = dial(all.edges[0].ip, all.front, {1400, 4096, 1000});
            const std::string id = freshAttempt();
            if (!wire) return void(++never);
            wire->timeoutMs(9000);
            note("client %d sends GET /stock-peek/%d, attempt %s, 9500 ms", i, i, id.c_str());
            wire->write(request("GET", "shop.example", "/stock-peek/" + std::to_string(i), id, 9500));
            const long sentAt = nowMs();
            Fields head;
            if (!wire->readHead(head)) return void(++never);
            ++begun;
            note("client %d gets the head of %s, length %s", i, head.second.c_str(),
                 head.get("Content-Length").c_str());
            std::string body;
            const long from = nowMs();
            while (body.size() < kBytes && wire->readSome(body, 1000))
                sleepMs(from + static_cast<long>(body.size()) * 1000 / kBytesPerSecond - nowMs());
            note("client %d has %zu of %zu bytes, %ld ms after it sent the request", i, body.size(), kBytes,
                 nowMs() - sentAt);
            ++(body.size() == kBytes ? whole : cut);
        });
    for (const long until = nowMs() + 4000; begun + never < kClients && nowMs() < until;) sleepMs(20);
    sleepMs(300);
    if (trouble()) all.signal(all.edges[0], SIGTERM);
    for (auto& c : clients) c.join();
    note("%d answers whole, %d cut off, %d never begun", whole.load(), cut.load(), never.load());
    finish(cut > 0 ? 1 : whole > 0 ? 0 : 2);
}
