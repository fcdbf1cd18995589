// Two of five core machines lose their disks at the same moment while the system starts for the first time, before
// a configuration was sent. They come back a second later with empty disks.
#include <signal.h>

#include <filesystem>
#include <string>

#include "stage.hpp"

using namespace review;

int main(int, char** argv) {
    openRecord(argv[1]);
    const std::vector<ServicePlan> services = {{"floorcheck", 8, 1024, 134, 300}};
    Stage* stage = nullptr;
    auto serve = [&](Arrival& a) {
        stage->platform->ran(a);
        sleepMs(80);
        return a.wire.write(answer200(a.endpoint, a.attempt, "in stock\n"));
    };
    Stage all(1, 5, services, serve);
    stage = &all;
    all.startAll();
    sleepMs(700);
    if (trouble()) {
        for (int i : {0, 1}) all.signal(all.cores[i], SIGKILL);
        for (int i : {0, 1}) {
            std::filesystem::remove_all(all.cores[i].folder + "/disk");
            note("%s: its disk is lost", all.cores[i].name.c_str());
        }
        sleepMs(1000);
        for (int i : {0, 1}) all.start(all.cores[i]);
    }
    const std::string order =
        configuration(1, {{"/stock-peek/", "floorcheck", true, 2, 2, 8000, 400}}, services);
    const long from = nowMs();
    constexpr long kPatienceMs = 60000;
    std::string answer;
    bool acknowledged = false;
    std::map<int, int> statuses;
    while (!acknowledged && nowMs() - from < kPatienceMs) {
        for (Machine& m : all.cores) {
            const int status = all.call(m, "PUT", "/configuration", order, answer);
            ++statuses[status];
            note("operator sends PUT /configuration, version 1, to %s and gets %d %s", m.name.c_str(), status,
                 status == 0 ? "" : answer.c_str());
            if (status == 200) {
                acknowledged = true;
                break;
            }
        }
        sleepMs(200);
    }
    note("%s after %ld ms", acknowledged ? "acknowledged" : "no core has acknowledged the order", nowMs() - from);
    for (auto [status, times] : statuses) note("the operator got %d %d times", status, times);
    int served = 0;
    if (acknowledged) all.waitReady();
    for (int i = 0; i < 5; ++i) {
        const std::string id = freshAttempt();
        Reply r = ask(all.edges[0].ip, all.front,
                      request("GET", "shop.example", "/stock-peek/" + std::to_string(i), id, 8000), 9000);
        note("client sends GET /stock-peek/%d, attempt %s, gets %d", i, id.c_str(), r.status);
        served += r.status == 200;
    }
    for (const std::string& each : all.unexpectedEnds()) note("%s", each.c_str());
    note("%d of 5 requests served", served);
    finish(!acknowledged ? 1 : served == 5 ? 0 : 2);
}
