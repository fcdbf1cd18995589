// One sender under test with its clock, and the plain model of the rules that watches every decision. For
// tests over sockets: the program itself, and scripted peers.
#pragma once

#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>
#include <vector>

#include "petrelpond/sender.hpp"
#include "src/transport/socket.hpp"

namespace petrelpond {

struct Set {  // the settings of a test, by part
    std::vector<Product> products = {
        {Span::seconds(3), Span::seconds(20), Effect::idempotent, Span(), false, 1, 0.3},
        {Span::seconds(3), Span::seconds(20), Effect::idempotencyKey, Span::seconds(8), false, 1, 0.3},
        {Span::seconds(3), Span::seconds(20), Effect::nonIdempotent, Span(), false, 2, 0.3}};
    std::vector<EndpointKind> kinds = {{1, false}, {1, true}, {5, false}};
    SenderGroup crew{2, ZoneIndex(0u)};
    SenderLimits room{8, 100, 8, true, Span::millis(5), Span::seconds(2)};
    ColdStartRule cold{0.2, Span::seconds(10), 2, Span::seconds(3)};
    EndpointListRule list;
    ConnectionRule links{Span::seconds(5), Span::millis(500)};
};

// What the rules allow, said slowly and plainly from the record of one sender; shares no code with it.
class RulesModel {
  public:
    explicit RulesModel(Set set) : set_(std::move(set)) {}
    struct Row {
        Arrival arrival;
        std::vector<std::pair<Instant, EndpointIndex>> mayHaveRun;
        std::optional<EndpointIndex> out;
        Instant startedAt;
        int answers = 0;
        bool over = false;
    };
    std::map<TextIndex, Row> rows;
    std::map<EndpointIndex, ListEntry> list;
    std::map<EndpointIndex, Instant> waits;  // of the endpoint, or of all of its destination
    std::map<uint64_t, std::pair<Instant, TextIndex>> rests;

    const Product& product(const Row& r) const { return set_.products[r.arrival.product.value]; }
    bool mayNack(const Row& r) const {
        return !r.over && !r.out && (r.mayHaveRun.empty() || product(r).effect != Effect::nonIdempotent);
    }
    bool maySubmit(Instant now, const Row& r, EndpointIndex e) const {
        if (r.over || r.out || now >= r.arrival.validUntil) return false;
        const ListEntry& entry = list.at(e);
        if (entry.state != ListState::active || entry.destination != r.arrival.destination) return false;
        auto wait = waits.find(e);
        if (wait != waits.end() && now < wait->second) return false;
        const Product& p = product(r);
        if (!r.mayHaveRun.empty() && p.effect == Effect::nonIdempotent) return false;
        if (!r.mayHaveRun.empty() && p.effect == Effect::idempotencyKey) {
            if (now > r.mayHaveRun.front().first + p.dedupWindow) return false;
            if (p.dedupPerZone && list.at(r.mayHaveRun.front().second).zone != entry.zone) return false;
        }
        if (!p.inOrder || !r.arrival.key) return true;
        for (const auto& [ix, earlier] : rows) {
            if (ix >= r.arrival.text) break;
            if (earlier.arrival.key == r.arrival.key && product(earlier).inOrder &&
                (!earlier.over || earlier.out)) {
                return false;
            }
        }
        auto rest = rests.find(*r.arrival.key);
        return rest == rests.end() || now >= rest->second.first || rest->second.second == r.arrival.text;
    }
    void ended(Instant now, const SubmitResult& e) {
        Row& r = rows.at(e.text);
        bool mayRun =
            e.status == SubmitStatus::error || e.status == SubmitStatus::timeout ||
            e.status == SubmitStatus::reset || e.status == SubmitStatus::cancelled;
        if (mayRun) r.mayHaveRun.push_back({r.startedAt, *r.out});
        if (mayRun && e.status != SubmitStatus::error && r.arrival.key) {
            rests[*r.arrival.key] = {now + set_.links.keyHoldTime, e.text};
        }
        if (e.retryAfter > Span()) {
            const ListEntry& at = list.at(*r.out);
            for (const auto& [ix, entry] : list) {
                bool shares =
                    !set_.kinds[at.kind.value].separateRoutes && entry.destination == at.destination;
                if (ix == *r.out || shares) waits[ix] = std::max(waits[ix], now + e.retryAfter);
            }
        }
        r.out.reset();
        if (e.isFinal) r.over = true, ++r.answers;
    }
    void decided(Instant now, const Decision& d) {
        if (const auto* s = std::get_if<Submit>(&d)) {
            Row& r = rows.at(s->text);
            CHECK(maySubmit(now, r, s->endpoint));
            r.out = s->endpoint;
            r.startedAt = now;
        } else if (const auto* n = std::get_if<Nack>(&d)) {
            CHECK(mayNack(rows.at(n->text)));
            answered(rows.at(n->text));
        } else if (const auto* u = std::get_if<Undeliverable>(&d)) {
            CHECK(!rows.at(u->text).over);
            CHECK(!rows.at(u->text).out);
            answered(rows.at(u->text));
        }
    }

  private:
    static void answered(Row& r) { r.over = true, ++r.answers; }
    Set set_;
};

struct Rig {
    Set set;
    RulesModel rules;
    Instant now = Instant::atMicros(1'000'000);
    std::unique_ptr<Sender> sender;
    std::vector<Submit> submits;  // of the last pull
    std::vector<Decision> others;
    std::map<TextIndex, int> count;
    uint32_t nextText = 0;

    explicit Rig(Set s = {}, uint32_t seed = 7) : set(s), rules(s) {
        sender = makeSender(seed, set.products, set.kinds, set.crew, set.room, set.cold, set.list,
                            Decay::linear, set.links);
    }
    // Endpoints from `first` on, `count` of them, of one destination.
    void endpoints(uint32_t destination, uint32_t first, uint32_t count, uint32_t kind = 0, double rate = 0) {
        std::vector<ListEntry> entries;
        for (uint32_t i = first; i < first + count; ++i) {
            entries.push_back({EndpointIndex(i), DestinationIndex(destination), ZoneIndex(i % 2), KindIndex(kind),
                               ListState::active, rate});
        }
        list(entries);
    }
    void list(const std::vector<ListEntry>& entries, ListScope scope = ListScope::changes) {
        for (const ListEntry& e : entries) {
            // The index of one that was gone is another's now, which has its own route.
            bool another = rules.list.count(e.endpoint) > 0 && rules.list[e.endpoint].state == ListState::removed;
            if (another && set.kinds[e.kind.value].separateRoutes) rules.waits.erase(e.endpoint);
            rules.list[e.endpoint] = e;
        }
        sender->onEndpointList(now, scope, entries);
    }
    TextIndex text(uint32_t destination, uint32_t product, std::optional<uint64_t> key = {}) {
        Arrival a{TextIndex(nextText++), DestinationIndex(destination), ProductIndex(product),
                  now + set.products[product].validity, key};
        rules.rows[a.text].arrival = a;
        sender->onArrival(now, a);
        return a.text;
    }
    void end(const Submit& s, SubmitStatus how, Span wait = Span()) {
        SubmitResult e{s.text, s.endpoint, how, how == SubmitStatus::delivered,
                       wait, 0.0, {}, false};  // no limit is reported
        rules.ended(now, e);
        sender->onSubmitResult(now, e);
    }
    size_t pull() {
        submits.clear();
        others.clear();
        while (auto d = sender->nextDecision(now)) {
            rules.decided(now, *d);
            if (const auto* s = std::get_if<Submit>(&*d)) {
                submits.push_back(*s);
                ++count[s->text];
            } else {
                others.push_back(*d);
            }
            // Woken in the instant in which it decides, it would decide for ever.
            const auto* wake = std::get_if<WakeAt>(&*d);
            if (wake && wake->at <= now) FAIL("a wake-up that is due at once");
        }
        return submits.size();
    }
    // Runs the clock on in ticks, collecting what was decided on the way.
    std::vector<Submit> run(Span span) {
        std::vector<Submit> all;
        for (Instant until = now + span; now < until;) {
            now = now + set.room.roundInterval;
            pull();
            all.insert(all.end(), submits.begin(), submits.end());
        }
        return all;
    }
    template <class Kind>
    size_t answers() const {
        return std::count_if(others.begin(), others.end(),
                             [](auto& d) { return std::holds_alternative<Kind>(d); });
    }
};

// ---- over sockets

inline bool eventually(const std::function<bool()>& holds, int ms = 4000) {
    auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(ms);
    while (!holds()) {
        if (std::chrono::steady_clock::now() > until) return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}
inline void pause(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

// Reads one HTTP message, head and body; empty at the end of the connection. `rest` keeps what came after it.
inline std::string readMessage(const Socket& socket, std::string& rest) {
    char part[4096];
    while (true) {
        size_t end = rest.find("\r\n\r\n");
        if (end != std::string::npos) {
            size_t at = rest.find("Content-Length: "), whole = end + 4;
            if (at < end) whole += std::stoul(rest.substr(at + 16));
            if (rest.size() >= whole) {
                std::string message = rest.substr(0, whole);
                rest.erase(0, whole);
                return message;
            }
        }
        long got = socket.receive(part, sizeof part);
        if (got <= 0) return "";
        rest.append(part, static_cast<size_t>(got));
    }
}
inline std::string ok(const std::string& body = "", const std::string& fields = "",
                      const char* status = "200 OK") {
    return std::string("HTTP/1.1 ") + status + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A peer that answers each request as its script says; an answer that is empty closes the connection, and one
// that says "silence" is none at all.
class Peer {
  public:
    using Script = std::function<std::string(const std::string& request)>;
    explicit Peer(Script script) : script_(std::move(script)) {
        std::string problem;
        listener_ = listenAt(*Address::parse("127.0.0.1:0"), problem);
        sockaddr_in at{};
        socklen_t size = sizeof at;
        getsockname(listener_.descriptor(), reinterpret_cast<sockaddr*>(&at), &size);
        address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
        threads_.emplace_back([this] { accept(); });
    }
    ~Peer() {
        stopped_ = true;
        shutDown(listener_.descriptor());
        {
            std::lock_guard lock(mutex_);
            for (auto& s : sockets_) shutDown(s->descriptor());
        }
        for (size_t i = 0; i < threads_.size(); ++i) threads_[i].join();
    }
    std::vector<std::string> requests() {
        std::lock_guard lock(mutex_);
        return requests_;
    }
    size_t count(const std::string& words) {
        auto all = requests();
        return std::count_if(all.begin(), all.end(),
                             [&](auto& r) { return r.find(words) != std::string::npos; });
    }
    std::string address;

  private:
    void accept() {
        bool lasting = false;
        while (!stopped_ && !lasting) {
            auto socket = std::make_shared<Socket>(acceptFrom(listener_, lasting));
            if (!socket->open()) continue;
            std::lock_guard lock(mutex_);
            sockets_.push_back(socket);
            threads_.emplace_back([this, socket] { serve(*socket); });
        }
    }
    void serve(Socket& socket) {
        std::string rest;
        for (std::string request; !(request = readMessage(socket, rest)).empty();) {
            {
                std::lock_guard lock(mutex_);
                requests_.push_back(request);
            }
            std::string answer = script_(request);
            if (answer == "silence") continue;
            if (answer.empty()) break;
            socket.sendAll(answer);
        }
        shutDown(socket.descriptor());
    }
    Script script_;
    Socket listener_;
    std::atomic<bool> stopped_ = false;
    std::mutex mutex_;
    std::vector<std::string> requests_;
    std::vector<std::shared_ptr<Socket>> sockets_;
    std::deque<std::thread> threads_;
};

// Takes connections up to its backlog and no further, so that the next never comes up.
struct Stalled {
    Socket listener, first, second;
    std::string address;
    Stalled() : listener(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in at{};
        at.sin_family = AF_INET, at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof at;
        ::bind(listener.descriptor(), reinterpret_cast<sockaddr*>(&at), size);
        ::listen(listener.descriptor(), 0);
        getsockname(listener.descriptor(), reinterpret_cast<sockaddr*>(&at), &size);
        address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
        for (Socket* s : {&first, &second}) {
            makeSocket(*s);
            connectSocket(*Address::parse(address), Span::millis(100), *s);
        }
    }
};

// Discovery and the platform: a list that a test can change, and notices.
class Platform {
  public:
    Platform() : peer([this](const std::string& r) { return answer(r); }) {}
    void change(const std::string& entries) {
        std::lock_guard lock(mutex_);
        ++revision_, changes_ = entries;
    }
    std::atomic<bool> silent = false;
    std::atomic<int> refusals = 0;  // of notices
    Peer peer;

  private:
    std::string answer(const std::string& request) {
        if (request.find("POST /v2/finals") == 0)
            return refusals-- > 0 ? ok("", "", "503 No") : ok("", "", "204 OK");
        for (int i = 0; i < 20; ++i) {
            if (silent) return "silence";
            {
                std::lock_guard lock(mutex_);
                size_t at = request.find("after=");
                if (at == std::string::npos) return list(changes_, true);
                if (std::stoi(request.substr(at + 6)) < revision_) return list(changes_);
            }
            pause(10);
        }
        std::lock_guard lock(mutex_);
        return list("");
    }
    std::string list(const std::string& entries, bool whole = false) {
        return ok("{\"revision\":" + std::to_string(revision_) +
                  ",\"complete\":" + (whole ? "true" : "false") + ",\"members\":[" + entries + "]}");
    }
    std::mutex mutex_;
    int revision_ = 1;
    std::string changes_;
};

inline std::string member(const std::string& id, const std::string& address, int cell,
                          const std::string& phase = "ready", const std::string& kind = "plain") {
    return "{\"id\":\"" + id + "\",\"host_port\":\"" + address + "\",\"locality\":\"a\",\"flavor\":\"" +
           kind + "\",\"cell\":" + std::to_string(cell) + ",\"phase\":\"" + phase +
           "\",\"size\":1.0,\"up_since_ms\":0}";
}

// A destination that is listed, and for now has no endpoint that takes calls.
inline std::string noneAt(int cell) {
    return member("none-" + std::to_string(cell), "127.0.0.1:1", cell, "draining");
}

inline std::string freeAddress() {  // a port that is free just now
    int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET, at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    ::bind(fd, reinterpret_cast<sockaddr*>(&at), size);
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    ::close(fd);
    return "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
}

// The program under test, started as the operators start it.
class Program {
  public:
    Program(const std::string& platform, const std::string& members, int diskMb = 3, int sockets = 1024,
            const std::string& opsAt = "", const std::string& crewOf = "")
        : ops(opsAt), crew(crewOf) {
        char made[] = "/tmp/petrelpond-test-XXXXXX";
        folder_ = mkdtemp(made);
        std::filesystem::create_directory(folder_ + "/state");
        address = freeAddress();
        rest_
            << "\",\"seed\":\"2a\",\"limits\":{\"memory_mb\":192,\"sockets\":" << sockets
            << ",\"disk_mb\":" << diskMb << "},\"known\":{\"revision\":1,\"complete\":true,\"members\":["
            << members << "]},\"settings\":{"
            << R"("balancers":1,"domain":{"batchByKind":[1,3],"maxCalls":8,"separateRoutes":[false,false]},)"
            << R"("failureDomains":["a"],"kinds":["plain","bundled"],"lanes":[)"
            << R"({"aim":600000,"deadline":9000000,"effect":"read_like","name":"status","worth":1.0},)"
            << R"({"aim":600000,"deadline":9000000,"effect":"non_idempotent","name":"order","worth":2.0}],)"
            << R"("limits":{"cancel":true,"connIdle":2000000,"connectTimeout":500000,"maxAttempts":5,)"
            << R"("maxRetryAfter":2000000,"mostHeld":100,"retryAfter":true},"resolution":5000,)"
            << R"("contract":{"cold":1000000,"coldFrom":0.5,"fall":1000000,"tipMultiple":2.0},)"
            << R"("report":{"fields":["x0","x1"],"how":"piggyback"},"zone":"a"}})";
        configure(platform);
        start();
    }
    void configure(const std::string& platform) const {
        std::ofstream(folder_ + "/config.json")
            << "{\"name\":\"" << name << "\",\"listen\":\"" << address << "\","
            << (crew.empty() ? "" : "\"crew\":" + crew + ",") << "\"discovery\":\"" << platform << rest_.str();
    }
    ~Program() {
        if (pid_ > 0) stop(SIGKILL);
        CHECK(log().find("Sanitizer") == std::string::npos);
        std::filesystem::remove_all(folder_);
    }
    void start() {
        pid_ = fork();
        if (pid_ == 0) {
            setenv("LB_CONFIG", (folder_ + "/config.json").c_str(), 1);
            setenv("LB_STATE", (folder_ + "/state").c_str(), 1);
            for (const char* name : {"LB_NAME", "LB_LISTEN"}) unsetenv(name);
            for (const std::string& set : settings) putenv(strdup(set.c_str()));
            if (inherits >= 0) dup2(inherits, 77), setenv("LB_FD", "77", 1);
            if (!ops.empty()) setenv("LB_OPS", ops.c_str(), 1);
            setenv("LB_DISCOVERY", "127.0.0.1:1", 1);  // what stands in the file goes over it
            std::freopen((folder_ + "/log").c_str(), "a", stderr);
            execl(PETRELPOND_PROGRAM, PETRELPOND_PROGRAM, nullptr);
            _exit(127);
        }
        up = eventually([&] { return get("/up").find(" 200 ") != std::string::npos; }, 10000);
    }
    // Starts the program once more beside the one that runs, which it returns; this is the new one from now on.
    pid_t beside(const std::string& opsAt) {
        pid_t old = std::exchange(pid_, 0);
        ops = opsAt;
        start();
        return old;
    }
    void take(pid_t pid, const std::string& opsAt) { pid_ = pid, ops = opsAt; }
    // Its exit code; minus the signal that ended it.
    int stop(int signal) {
        ::kill(pid_, signal);
        int status = 0;
        waitpid(std::exchange(pid_, 0), &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    void tell(int signal) const { ::kill(pid_, signal); }
    bool runs() const { return waitpid(pid_, nullptr, WNOHANG) == 0; }
    Socket connect() const {
        Socket socket;
        if (makeSocket(socket) == Connect::up)
            connectSocket(*Address::parse(address), Span::seconds(1), socket);
        socket.waitAtMost(Span::seconds(6));
        return socket;
    }
    std::string ask(const std::string& bytes) const {
        Socket socket = connect();
        socket.sendAll(bytes);
        std::string rest;
        return readMessage(socket, rest);
    }
    std::string get(const std::string& path) const {
        return ask("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    static std::string request(const std::string& id, const std::string& product, int dest, int ms,
                               const std::string& body) {
        return "POST /" + product + " HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: " + id +
               "\r\nRequest-Timeout-Ms: " + std::to_string(ms) +
               "\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\nEnvelope: dest=" + std::to_string(dest) + "\r\n\r\n" + body;
    }
    // The status that a text handed in is answered with.
    int hand(const std::string& id, const std::string& product = "status", int dest = 7, int ms = 8000,
             const std::string& body = "hello") const {
        std::string answer = ask(request(id, product, dest, ms, body));
        return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
    }
    long counter(const std::string& name) const {
        std::string all = get("/counters");
        size_t at = all.find("\n" + name + " ");
        return at == std::string::npos ? -1 : std::stol(all.substr(at + name.size() + 2));
    }
    std::string log() const {
        std::ostringstream out;
        out << std::ifstream(folder_ + "/log").rdbuf();
        return out.str();
    }
    size_t held(const char* what) const {  // "fd" or "task"
        auto all = std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/" + what);
        return static_cast<size_t>(std::distance(begin(all), end(all)));
    }
    std::string state() const { return folder_ + "/state"; }

    // A call on the operators' address: its answer's line, and how long that took.
    std::string order(const std::string& line, int* tookMs = nullptr) const {
        auto began = std::chrono::steady_clock::now();
        Socket socket;
        if (makeSocket(socket) == Connect::up) connectSocket(*Address::parse(ops), Span::seconds(1), socket);
        socket.waitAtMost(Span::seconds(4));
        socket.sendAll(line);
        std::string answer;
        char part[256];
        for (long got; (got = socket.receive(part, sizeof part)) > 0;) answer.append(part, static_cast<size_t>(got));
        auto took = std::chrono::steady_clock::now() - began;
        if (tookMs) *tookMs = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(took).count());
        return answer;
    }

    std::string address, ops, name = "t";
    std::string crew;  // of the configuration, a JSON object; empty: none
    int inherits = -1;  // a listener that the next start is given
    std::vector<std::string> settings;  // NAME=value, of the next start
    bool up = false;

  private:
    std::string folder_;
    std::ostringstream rest_;  // of the configuration
    pid_t pid_ = 0;
};

}  // namespace petrelpond
