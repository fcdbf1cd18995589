// Many users come at once, each over a slow link. The platform ends a process that goes over memory_mb, and starts
// it again after a short delay; that is done here by the play.
#include <fcntl.h>
#include <signal.h>
#include <sys/socket.h>

#include <fstream>
#include <string>

#include "stage.hpp"

using namespace review;

namespace {

constexpr size_t kBytes = 1u << 20;           // of an answer
constexpr long kBytesPerSecond = 125'000;     // 1 Mbit/s for each client: 8.4 s for an answer
constexpr long kPatienceMs = 9500;
constexpr long kMemoryMb = 260;               // memory_mb of the site's edge machines

long residentMb(pid_t pid) {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(status, line))
        if (line.rfind("VmRSS:", 0) == 0) return std::atol(line.c_str() + 6) * 1024 / 1'000'000;
    return 0;
}

struct Counts {
    std::atomic<int> sent{0}, whole{0}, cut{0}, refused{0}, none{0};
};

// The clients of one sender, each with a connection of its own. One thread reads for all of them.
void clients(const std::string& ip, int port, const std::atomic<double>& perSecond, const std::atomic<bool>& going,
             Counts& counts) {
    struct Client {
        std::unique_ptr<Wire> wire;
        long since, headAt = 0;
        size_t got = 0;
        std::string first, id;
    };
    std::vector<Client> all;
    long looked = nowMs(), made = 0;
    double due = 0;
    while (going || !all.empty()) {
        due += static_cast<double>(nowMs() - looked) * perSecond / 1000;
        looked = nowMs();
        for (; going && due >= 1; due -= 1) {
            ++made;
            auto wire = dial(ip, port, {1400, 4096, 1000});
            if (!wire) {
                ++counts.none;
                continue;
            }
            const std::string id = freshAttempt();
            note("client sends GET /stock-peek/%ld to %s, attempt %s", made, ip.c_str(), id.c_str());
            wire->write(request("GET", "shop.example", "/stock-peek/" + std::to_string(made), id, kPatienceMs));
            fcntl(wire->fd(), F_SETFL, O_NONBLOCK);
            ++counts.sent;
            all.push_back({std::move(wire), nowMs(), 0, 0, {}, id});
        }
        for (size_t i = 0; i < all.size();) {
            Client& c = all[i];
            bool over = nowMs() - c.since > kPatienceMs;
            const long may = c.headAt == 0 ? 1000 : (nowMs() - c.headAt) * kBytesPerSecond / 1000 + 1000;
            char bytes[8192];
            while (!over && static_cast<long>(c.got) < may) {
                const ssize_t n = recv(c.wire->fd(), bytes, std::min<size_t>(sizeof bytes, static_cast<size_t>(may) - c.got), 0);
                if (n < 0 && errno == EAGAIN) break;
                if (n <= 0) {
                    over = true;
                    break;
                }
                if (c.headAt == 0) c.headAt = nowMs();
                if (c.first.size() < 16) c.first.append(bytes, static_cast<size_t>(n));
                c.got += static_cast<size_t>(n);
                over = c.got >= kBytes || c.first.compare(0, 12, "HTTP/1.1 503") == 0;
            }
            if (!over) {
                ++i;
                continue;
            }
            note("client has \"%s\" and %zu bytes for attempt %s", c.first.substr(0, 12).c_str(), c.got, c.id.c_str());
            ++(c.got >= kBytes                                  ? counts.whole
               : c.first.compare(0, 12, "HTTP/1.1 503") == 0 ? counts.refused
               : c.got > 0                                      ? counts.cut
                                                                : counts.none);
            all[i] = std::move(all.back());
            all.pop_back();
        }
        sleepMs(10);
    }
}

}  // namespace

int main(int, char** argv) {
    openRecord(argv[1]);
    const std::vector<ServicePlan> services = {{"floorcheck", 8, 1024, 134, 300}};
    const std::string text(kBytes, 'x');
    Stage* stage = nullptr;
    auto serve = [&](Arrival& a) {
        stage->platform->ran(a);
        sleepMs(40);
        return a.wire.write(answer200(a.endpoint, a.attempt, text));
    };
    Stage all(2, 3, services, serve);
    stage = &all;
    all.startAll();
    all.put(configuration(1, {{"/stock-peek/", "floorcheck", true, 2, 2, 10000, 400}}, services));
    all.waitReady();
    constexpr double kUsual = 40;  // requests a second at each sender
    constexpr double kBurst = 2.3;  // times, for 4 s: the site's burst of stock-peek
    std::atomic<double> rate{kUsual};
    std::atomic<bool> going{true};
    std::vector<Counts> counts(all.edges.size());
    std::vector<std::thread> threads;
    for (size_t i = 0; i < all.edges.size(); ++i)
        threads.emplace_back([&, i] { clients(all.edges[i].ip, all.front, rate, going, counts[i]); });
    std::vector<int> ended(all.edges.size(), 0);
    std::vector<long> most(all.edges.size(), 0), startAt(all.edges.size(), 0);
    note("clients send %.0f requests a second to each sender", kUsual);
    bool bursting = false;
    for (const long from = nowMs(); nowMs() < from + 56000; sleepMs(20)) {
        const long at = nowMs() - from;  // bursts begin at 12, 26 and 40 s
        const bool burst = trouble() && at >= 12000 && (at - 12000) % 14000 < 4000 && at < 45000;
        if (burst != bursting) {
            bursting = burst;
            rate = burst ? kBurst * kUsual : kUsual;
            note("clients send %.0f requests a second to each sender", rate.load());
        }
        for (size_t i = 0; i < all.edges.size(); ++i) {
            Machine& m = all.edges[i];
            if (startAt[i] > 0 && nowMs() >= startAt[i]) all.start(m, "petrel-proxy"), startAt[i] = 0;
            auto at = m.pids.find("petrel-proxy");
            if (at == m.pids.end()) continue;
            const long mb = residentMb(at->second);
            most[i] = std::max(most[i], mb);
            if (mb <= kMemoryMb) continue;
            ++ended[i];
            note("%s: petrel-proxy holds %ld MB, memory_mb is %ld: it is ended", m.name.c_str(), mb, kMemoryMb);
            all.signal(m, "petrel-proxy", SIGKILL);
            startAt[i] = nowMs() + 500;
        }
    }
    going = false;
    for (auto& t : threads) t.join();
    int machines = 0;
    for (size_t i = 0; i < all.edges.size(); ++i) {
        machines += ended[i] >= 3;
        note("%s: at most %ld MB, ended %d times; of %d requests %d answered whole, %d cut off, %d refused, %d without an "
             "answer",
             all.edges[i].name.c_str(), most[i], ended[i], counts[i].sent.load(), counts[i].whole.load(),
             counts[i].cut.load(), counts[i].refused.load(), counts[i].none.load());
    }
    for (const std::string& each : all.unexpectedEnds()) note("%s", each.c_str());
    finish(machines >= 2 ? 1 : counts[0].whole > 0 ? 0 : 2);
}
