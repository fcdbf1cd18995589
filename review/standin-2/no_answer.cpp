// An endpoint in trouble now and then sends bytes that are not an answer: its status line holds control bytes.
#include <string>

#include "stage.hpp"

using namespace review;

namespace {

// RFC 9112: a reason phrase is made of tabs, spaces, visible characters and bytes from 0x80. A carriage return
// without its line feed makes the element invalid.
bool isStatusLine(const std::string& line) {
    if (line.size() < 13 || line.compare(0, 9, "HTTP/1.1 ") != 0) return false;
    for (size_t i = 9; i < line.size(); ++i) {
        const auto c = static_cast<unsigned char>(line[i]);
        if (c == 0x7f || (c < 0x20 && c != '\t')) return false;
    }
    return true;
}

}  // namespace

int main(int, char** argv) {
    openRecord(argv[1]);
    // A trouble of the site: garble, share 0.6, x 0.03. Here 2 of 4 endpoints, 2 of 80 answers each.
    constexpr int kFunctions = 4, kInTrouble = 2, kRequests = 80;
    std::vector<ServicePlan> services;
    std::vector<RoutePlan> routes;
    for (int i = 0; i < kFunctions; ++i) {
        const std::string name = "floorcheck-" + std::to_string(i);
        services.push_back({name, 8, 1024, 134, 300});
        routes.push_back({"/stock-peek-" + std::to_string(i) + "/", name, true, 2, 2, 4000, 400});
    }
    Stage* stage = nullptr;
    auto serve = [&](Arrival& a) {
        const std::string& path = a.head.second;
        const int function = std::atoi(path.substr(12).c_str()), number = std::atoi(path.substr(path.rfind('/') + 1).c_str());
        stage->platform->ran(a);
        sleepMs(5);
        std::string answer = answer200(a.endpoint, a.attempt, "in stock\n");
        if (trouble() && function < kInTrouble && (number == 30 || number == 60)) {
            note("endpoint %s spoils the status line of its answer to attempt %s", a.endpoint.id.c_str(),
                 a.attempt.c_str());
            const std::string spoilt = number == 30 ? std::string("HTTP/1.1 200 \x01\0\x02", 16)
                                                    : std::string("HTTP/1.1 200 OK\rContent-Length: 0");
            answer.replace(0, answer.find("\r\n"), spoilt);
        }
        return a.wire.write(answer);
    };
    Stage all(1, 3, services, serve);
    stage = &all;
    all.startAll();
    all.put(configuration(1, routes, services));
    all.waitReady();
    int sound = 0, noAnswer = 0, other = 0;
    for (int k = 0; k < kRequests; ++k)
        for (int i = 0; i < kFunctions; ++i) {
            const std::string id = freshAttempt();
            const std::string path = "/stock-peek-" + std::to_string(i) + "/" + std::to_string(k);
            auto wire = dial(all.edges[0].ip, all.front);
            if (!wire) {
                ++other;
                continue;
            }
            wire->timeoutMs(5000);
            wire->write(request("GET", "shop.example", path, id, 4000, "", "Connection: close\r\n"));
            std::string got;
            while (wire->readSome(got, 4096)) {
            }
            const std::string line = got.substr(0, got.find("\r\n"));
            std::string shown;
            for (const char c : line) {
                char code[8];
                std::snprintf(code, sizeof code, "<%02x>", static_cast<unsigned char>(c));
                shown += static_cast<unsigned char>(c) < 0x20 ? code : std::string(1, c);
            }
            if (!got.empty() && !isStatusLine(line)) {
                ++noAnswer;
                note("client gets for attempt %s (GET %s) bytes that are no answer: \"%s\", %zu bytes in all",
                     id.c_str(), path.c_str(), shown.c_str(), got.size());
            } else {
                const bool ok = line.compare(0, 12, "HTTP/1.1 200") == 0;
                ++(ok ? sound : other);
                if (!ok) note("client gets \"%s\" for attempt %s (GET %s)", shown.c_str(), id.c_str(), path.c_str());
            }
        }
    for (const std::string& each : all.unexpectedEnds()) note("%s", each.c_str());
    note("%d answers sound, %d that are no answer in the protocol, %d others", sound, noAnswer, other);
    all.endAll();
    if (noAnswer > 0) return 1;
    return sound > 0 ? 0 : 2;
}
