// A change of the configuration adds a function whose endpoints may hold any number of requests at once: its
// max_concurrency is the largest whole number of 32 bits.
#include <string>

#include "stage.hpp"

using namespace review;

int main(int, char** argv) {
    openRecord(argv[1]);
    const int most = !trouble() ? 8 : 2147483647;
    const ServicePlan peek{"floorcheck", 8, 1024, 134, 300}, added{"showroom", most, 1024, 134, 300},
        later{"outlet", 8, 1024, 134, 300};
    Stage* stage = nullptr;
    auto serve = [&](Arrival& a) {
        stage->platform->ran(a);
        sleepMs(50);
        return a.wire.write(answer200(a.endpoint, a.attempt, "in stock\n"));
    };
    Stage all(2, 3, {peek, added, later}, serve);
    stage = &all;
    const RoutePlan toPeek{"/stock-peek/", "floorcheck", true, 2, 2, 4000, 400},
        toAdded{"/showroom/", "showroom", true, 2, 2, 4000, 400},
        toLater{"/outlet/", "outlet", true, 2, 2, 4000, 400};
    all.startAll();
    all.put(configuration(1, {toPeek}, {peek}));
    all.waitReady();
    std::atomic<bool> going{true};
    std::atomic<int> sent[3] = {}, served[3] = {};
    auto client = [&](int which, const char* path, const std::string& ip, long pause) {
        for (int k = 0; going; ++k) {
            const std::string id = freshAttempt();
            note("client sends GET %s%d to %s, attempt %s", path, k, ip.c_str(), id.c_str());
            Reply r =
                ask(ip, all.front, request("GET", "shop.example", path + std::to_string(k), id, 4000), 5000);
            ++sent[which], served[which] += r.status == 200;
            note("client gets %d for GET %s%d, attempt %s", r.status, path, k, id.c_str());
            sleepMs(pause);
        }
    };
    std::vector<std::thread> clients;
    // So many clients at each sender, each with a pause between its requests.
    auto begin = [&](int which, const char* path, int each, long pause) {
        for (auto& edge : all.edges)
            for (int i = 0; i < each; ++i) clients.emplace_back(client, which, path, edge.ip, pause);
    };
    auto order = [&](const std::string& json, long patience) {
        const long from = nowMs();
        std::string answer;
        while (nowMs() - from < patience) {
            for (Machine& m : all.cores) {
                answer.clear();
                const int status = all.call(m, "PUT", "/configuration", json, answer);
                if (status == 200) {
                    note("operator: PUT /configuration acknowledged by %s after %ld ms", m.name.c_str(), nowMs() - from);
                    return true;
                }
                note("operator: PUT /configuration at %s gets %d %s", m.name.c_str(), status, answer.substr(0, 100).c_str());
                if (status == 400) return false;
            }
            sleepMs(200);
        }
        note("operator: not acknowledged in %ld ms", nowMs() - from);
        return false;
    };
    begin(0, "/stock-peek/", 1, 250);
    sleepMs(4000);  // contact_ms
    const bool second = order(configuration(2, {toPeek, toAdded, toLater}, {peek, added, later}), 20000);
    if (!second) cannotRun("the change was not taken");
    sleepMs(3000);  // config_apply_ms
    begin(1, "/showroom/", 1, 2000);
    sleepMs(5000);
    begin(2, "/outlet/", 8, 250);
    sleepMs(12000);
    // ack_ms is 5 s.
    const bool third = order(configuration(3, {toPeek, toAdded, toLater}, {peek, added, later}, 14000), 20000);
    going = false;
    for (auto& c : clients) c.join();
    const std::vector<std::string> ends = all.unexpectedEnds();
    for (const std::string& each : ends) note("%s", each.c_str());
    const char* names[] = {"stock-peek, there from the first", "showroom, added", "outlet, added"};
    for (int i = 0; i < 3; ++i) note("%s: %d of %d requests served", names[i], served[i].load(), sent[i].load());
    note("third order: %s", third ? "acknowledged" : "not acknowledged");
    // CONFIG sums over all routes that were added.
    const int addedSent = sent[1] + sent[2], addedServed = served[1] + served[2];
    const double first = served[0] / std::max(1.0, double(sent[0]));
    const bool starved = addedSent >= 20 && addedServed / double(addedSent) < first / 4;
    note("added routes together: %d of %d requests served%s", addedServed, addedSent, starved ? ", under a quarter" : "");
    finish(starved || !third ? 1 : served[2] > 0 ? 0 : 2);
}
