// An endpoint that was full for a moment says so a second time, late, in the place where the answer to the
// next request is due. That next request is the proxy's own further try of the same request.
#include <string>

#include "stage.hpp"

using namespace review;

int main(int, char** argv) {
    openRecord(argv[1]);
    constexpr int kFunctions = 8;
    std::vector<ServicePlan> services;
    std::vector<RoutePlan> routes;
    for (int i = 0; i < kFunctions; ++i) {
        const std::string name = "freightbook-" + std::to_string(i);
        services.push_back({name, 1, 128, 22, 300});
        // At most three endpoints, and run once at most.
        routes.push_back({"/delivery-booking-" + std::to_string(i) + "/", name, false, 3, 0, 8000, 5000});
    }
    Stage* stage = nullptr;
    auto serve = [&](Arrival& a) {
        // A new connection holds the slot for a moment: what comes on it at once finds the endpoint full. So
        // does what comes while a request is at work.
        if (nowMs() - a.acceptedAt < 25 || a.endpoint.busy >= a.endpoint.slots) {
            note("endpoint %s is full, turns attempt %s away", a.endpoint.id.c_str(), a.attempt.c_str());
            a.kept["turned away"] = a.attempt;
            return a.wire.write(answerFull(a.attempt));
        }
        // The disruption: the answer that was given is sent once more, where the next one is due.
        const std::string before = a.kept["turned away"];
        a.kept.erase("turned away");
        if (trouble() && !before.empty()) {
            note("endpoint %s sends its 503 to attempt %s a second time", a.endpoint.id.c_str(), before.c_str());
            if (!a.wire.write(answerFull(before))) return false;
        }
        ++a.endpoint.busy;
        stage->platform->ran(a);
        sleepMs(1500);
        --a.endpoint.busy;
        return a.wire.write(answer200(a.endpoint, a.attempt, "booked\n"));
    };
    Stage all(1, 3, services, serve);
    stage = &all;
    all.startAll();
    all.put(configuration(1, routes, services));
    all.waitReady();
    std::vector<std::string> attempts;
    std::map<std::string, int> statuses;
    for (int i = 0; i < kFunctions; ++i) {
        const std::string id = freshAttempt();
        attempts.push_back(id);
        const std::string path = "/delivery-booking-" + std::to_string(i) + "/sofa";
        note("client sends POST %s, attempt %s", path.c_str(), id.c_str());
        Reply r = ask(all.edges[0].ip, all.front, request("POST", "shop.example", path, id, 8000, "sofa\n"), 9000);
        note("client gets %d for attempt %s", r.status, id.c_str());
        statuses[id] = r.status;
    }
    sleepMs(4000);  // what is still at work ends
    int twice = 0, refusedButRan = 0, served = 0;
    for (const std::string& id : attempts) {
        const int runs = all.platform->runsOf(id);
        twice += runs > 1;
        served += statuses[id] == 200;
        refusedButRan += (statuses[id] == 503 || statuses[id] == 429) && runs > 0;
    }
    for (const std::string& each : all.unexpectedEnds()) note("%s", each.c_str());
    note("%d requests that may run once: %d served, %d ran more than once, %d were refused though they ran",
         kFunctions, served, twice, refusedButRan);
    all.endAll();
    if (twice + refusedButRan > 0) return 1;
    return served > 0 ? 0 : 2;
}
