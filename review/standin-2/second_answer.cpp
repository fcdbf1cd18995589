// An endpoint that was full for a moment says so a second time, late, in the place where the answer to the
// next request is due. That next request is the proxy's own further try of the same request.
#include <set>
#include <string>

#include "stage.hpp"

using namespace review;

int main(int, char** argv) {
    openRecord(argv[1]);
    // A trouble of the site: garble, how "extra late", share 0.6, x 0.03. Here half of the endpoints (4 of 8)
    // spoil one answer of the 41 or more that they give.
    constexpr int kFunctions = 8, kInTrouble = 4, kReadsEach = 40;
    std::vector<ServicePlan> services;
    std::vector<RoutePlan> routes;
    std::set<std::string> inTrouble;
    for (int i = 0; i < kFunctions; ++i) {
        const std::string name = "freightbook-" + std::to_string(i);
        if (i < kInTrouble) inTrouble.insert(name);
        services.push_back({name, 1, 128, 22, 300});
        // May run once at most, and be sent to three endpoints.
        routes.push_back({"/delivery-booking-" + std::to_string(i) + "/", name, false, 3, 0, 8000, 5000});
        routes.push_back({"/restock-order-" + std::to_string(i) + "/", name, true, 2, 2, 8000, 1500});
    }
    Stage* stage = nullptr;
    std::map<std::string, std::atomic<long>> heldUntil;  // the slot of a function's endpoint
    for (const ServicePlan& s : services) heldUntil[s.name] = 0;
    auto serve = [&](Arrival& a) {
        // Full: another caller's new connection holds the slot for a moment, or a request is at work.
        if (nowMs() < heldUntil[a.endpoint.service] || a.endpoint.busy >= a.endpoint.slots) {
            note("endpoint %s is full, turns attempt %s away", a.endpoint.id.c_str(), a.attempt.c_str());
            a.kept["turned away"] = a.attempt;
            return a.wire.write(answerFull(a.attempt));
        }
        const bool booking = a.head.first == "POST";
        // The disruption: the answer that was given is sent once more, where the next one is due.
        const std::string before = a.kept["turned away"];
        a.kept.erase("turned away");
        if (trouble() && booking && !before.empty() && inTrouble.count(a.endpoint.service)) {
            note("endpoint %s sends its 503 to attempt %s a second time", a.endpoint.id.c_str(), before.c_str());
            if (!a.wire.write(answerFull(before))) return false;
        }
        ++a.endpoint.busy;
        stage->platform->ran(a);
        sleepMs(booking ? 1500 : 5);
        --a.endpoint.busy;
        return a.wire.write(answer200(a.endpoint, a.attempt, booking ? "booked\n" : "ordered\n"));
    };
    Stage all(1, 3, services, serve);
    stage = &all;
    all.startAll();
    all.put(configuration(1, routes, services));
    all.waitReady();
    std::vector<std::string> attempts(kFunctions);
    std::vector<int> statuses(kFunctions, 0);
    std::atomic<int> reads{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < kFunctions; ++i)
        clients.emplace_back([&, i] {
            const std::string ip = all.edges[0].ip;
            for (int k = 0; k < kReadsEach; ++k) {
                const std::string path = "/restock-order-" + std::to_string(i) + "/" + std::to_string(k);
                const std::string id = freshAttempt();
                note("client sends GET %s, attempt %s", path.c_str(), id.c_str());
                const int status = ask(ip, all.front, request("GET", "shop.example", path, id, 8000), 9000).status;
                note("client gets %d for attempt %s", status, id.c_str());
                reads += status == 200;
            }
            // Another caller opens a connection to the endpoint, which holds its slot for a moment.
            std::unique_ptr<Wire> other;
            for (auto& e : all.platform->endpoints())
                if (e->service == services[i].name && !e->stopped && nowMs() > e->upAt) {
                    other = dial(e->ip, e->port);
                    heldUntil[e->service] = nowMs() + 25;
                    note("another caller connects to endpoint %s", e->id.c_str());
                }
            attempts[i] = freshAttempt();
            const std::string path = "/delivery-booking-" + std::to_string(i) + "/sofa";
            note("client sends POST %s, attempt %s", path.c_str(), attempts[i].c_str());
            statuses[i] =
                ask(ip, all.front, request("POST", "shop.example", path, attempts[i], 8000, "sofa\n"), 9000).status;
            note("client gets %d for attempt %s", statuses[i], attempts[i].c_str());
        });
    for (auto& c : clients) c.join();
    sleepMs(4000);  // what is still at work ends
    int twice = 0, refusedButRan = 0, served = 0;
    for (int i = 0; i < kFunctions; ++i) {
        const int runs = all.platform->runsOf(attempts[i]);
        twice += runs > 1;
        served += statuses[i] == 200;
        refusedButRan += (statuses[i] == 503 || statuses[i] == 429) && runs > 0;
    }
    for (const std::string& each : all.unexpectedEnds()) note("%s", each.c_str());
    note("%d of %d reads served; %d bookings, each to run once: %d served, %d ran more than once, %d were refused "
         "though they ran",
         reads.load(), kFunctions * kReadsEach, kFunctions, served, twice, refusedButRan);
    finish(twice + refusedButRan > 0 ? 1 : served > 0 ? 0 : 2);
}
