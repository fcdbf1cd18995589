#include "fleet/false_sender.hpp"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "fleet/net.hpp"

namespace petrelpond::fleet {

namespace {

using nlohmann::json;

// One text at a time for each destination, straight to the first endpoint that may take it.
class FalseSender {
  public:
    FalseSender(json config, std::string breaks) : config_(std::move(config)), breaks_(std::move(breaks)) {}
    int run();

  private:
    struct Text {
        std::string id, body;
        int destination = 0;
        std::string key;  // of those in order
        bool onceOnly = false, mayHaveRun = false, out = false, over = false;
        Instant until;
        int submits = 0;
    };
    struct Endpoint {
        std::string address, phase;
        int destination = 0;
    };
    void asked(const std::shared_ptr<Conn>& conn, const Message& m);
    void take(const json& members);
    void watch();
    void go(int destination);
    void submit(const std::shared_ptr<Text>& text, const Endpoint& endpoint, bool second);
    void end(const std::shared_ptr<Text>& text, bool nacked);
    void leave(const std::shared_ptr<Text>& text);
    void later(int destination, Span in) {
        loop_.at(loop_.now() + in, [this, destination] { go(destination); });
    }
    bool breaks(const char* what) const { return breaks_ == what; }

    json config_;
    std::string breaks_;
    Loop loop_;
    std::map<std::string, Endpoint> endpoints_;
    std::map<std::string, bool> onceOnly_;
    std::map<int, std::deque<std::shared_ptr<Text>>> queues_;
    std::map<std::string, std::deque<std::shared_ptr<Text>>> lines_;  // by key
    std::map<int, Instant> waits_, failedAt_;
    int64_t revision_ = 0;
    long taken_ = 0;
    size_t turn_ = 0;
};

void FalseSender::take(const json& members) {
    for (const json& m : members) {
        Endpoint e{m.at("host_port"), m.at("phase"), m.at("cell")};
        if (breaks("drain") && endpoints_.count(m.at("id")) > 0) continue;
        endpoints_[m.at("id")] = e;
    }
}

void FalseSender::asked(const std::shared_ptr<Conn>& conn, const Message& m) {
    if (m.start.starts_with("GET /up")) return conn->send(response(200, "", ""));
    auto text = std::make_shared<Text>();
    text->id = m.field("Request-Id"), text->body = m.body;
    std::string envelope(m.field("Envelope"));
    text->destination = atoi(envelope.c_str() + std::min(envelope.size(), size_t{5}));
    text->until = loop_.now() + Span::millis(atoll(std::string(m.field("Request-Timeout-Ms")).c_str()));
    size_t slash = m.start.find('/');
    text->onceOnly = onceOnly_[m.start.substr(slash + 1, m.start.find_first_of(" ?", slash) - slash - 1)];
    if (size_t at = m.start.find("subject="); at != std::string::npos && at < m.start.rfind(' ')) {
        text->key = m.start.substr(at + 8, m.start.rfind(' ') - at - 8);
        lines_[text->key].push_back(text);
    }
    conn->send(response(202, "", ""));
    if (breaks("lost") && ++taken_ % 10 == 0) return;
    queues_[text->destination].push_back(text);
    loop_.at(text->until, [this, text] {
        if (!text->out) end(text, false);
    });
    go(text->destination);
}

void FalseSender::end(const std::shared_ptr<Text>& text, bool nacked) {
    if (text->over) return;
    text->over = true;
    leave(text);
    std::string line = json{{"ref", text->id}, {"result", nacked ? "bounced" : "dead"}}.dump() + "\n";
    int fd = connectTo(config_.at("discovery"));
    if (fd < 0) return;
    auto conn = std::make_shared<Conn>(loop_, fd);
    conn->onMessage = [this, conn](Message&&) {
        loop_.at(loop_.now(), [conn] { conn->onMessage = nullptr; });
    };
    conn->start(true);
    conn->send(request("POST", "/v2/finals", "", line));
}

void FalseSender::leave(const std::shared_ptr<Text>& text) {
    std::erase(queues_[text->destination], text);
    if (text->key.empty()) return;
    auto& line = lines_[text->key];
    std::erase(line, text);
    if (line.empty()) {
        lines_.erase(text->key);
    } else {
        later(line.front()->destination, Span());
    }
}

void FalseSender::go(int destination) {
    auto& queue = queues_[destination];
    Instant now = loop_.now();
    if (queue.empty()) return;
    if (waits_.count(destination) > 0 && now < waits_[destination] && !breaks("wait")) {
        return later(destination, waits_[destination] - now);
    }
    // After a failure a trial now and then; pushing over sends all that there is instead.
    bool out = std::any_of(queue.begin(), queue.end(), [](auto& t) { return t->out; });
    if (out && !breaks("return")) return;
    if (failedAt_.count(destination) > 0 && !breaks("return")) {
        Span pause = Span::millis(300);
        if (now < failedAt_[destination] + pause)
            return later(destination, failedAt_[destination] + pause - now);
    }
    std::vector<const Endpoint*> usable;
    for (const auto& [id, e] : endpoints_) {
        if (e.destination == destination &&
            (e.phase == "ready" || (breaks("drain") && e.phase == "draining")))
            usable.push_back(&e);
    }
    if (usable.empty()) return later(destination, Span::millis(50));
    auto texts = std::vector<std::shared_ptr<Text>>(queue.begin(), queue.end());
    if (breaks("order")) std::reverse(texts.begin(), texts.end());
    for (const auto& text : texts) {
        if (text->out || text->over) continue;
        if (!text->key.empty() && lines_[text->key].front() != text && !breaks("order")) continue;
        const Endpoint& e = *usable[turn_++ % usable.size()];
        submit(text, e, false);
        if (breaks("twice-out")) submit(text, e, true);
        if (!breaks("return")) return;
    }
}

void FalseSender::submit(const std::shared_ptr<Text>& text, const Endpoint& endpoint, bool second) {
    int fd = connectTo(endpoint.address);
    if (fd < 0) return later(text->destination, Span::millis(100));
    text->out = true, ++text->submits;
    auto conn = std::make_shared<Conn>(loop_, fd);
    auto done = std::make_shared<bool>(false);
    int destination = text->destination;
    auto over = [this, text, conn, done, destination, second](int status, Span wait) {
        if (std::exchange(*done, true)) return;
        loop_.at(loop_.now(), [conn] { conn->onMessage = nullptr, conn->onClosed = nullptr, conn->close(); });
        if (second) return;
        text->out = false;
        bool never = status == 429 || status == 503 || status < 0;
        if (status != 200 && !(breaks("wait") && wait > Span())) failedAt_[destination] = loop_.now();
        if (status == 200) failedAt_.erase(destination);
        if (wait > Span()) waits_[destination] = loop_.now() + wait;
        if (status != 200 && !never) text->mayHaveRun = true;
        if (status == 200) {
            text->over = true;
            leave(text);
        } else if (loop_.now() >= text->until || (text->mayHaveRun && text->onceOnly && !breaks("double"))) {
            end(text, false);
        }
        go(destination);
        if (breaks("return")) later(destination, Span::millis(5));
    };
    conn->onMessage = [over](Message&& m) {
        over(m.status(), Span::millis(atoll(std::string(m.field("Wait-Ms")).c_str())));
    };
    conn->onClosed = [over, conn](bool) { over(conn->note == 0 ? -1 : 0, Span()); };
    conn->start(true);
    conn->note = 1;  // a byte of it may have left from now on
    conn->send(request("POST", "/events", "Request-Id: " + text->id + "\r\nRequest-Timeout-Ms: 1000\r\n",
                       text->body));
    Span patience = std::min(breaks("return") ? Span::millis(50) : Span::seconds(1),
                             text->until - loop_.now() + Span::millis(1));
    loop_.at(loop_.now() + patience, [over] { over(0, Span()); });
}

void FalseSender::watch() {
    int fd = connectTo(config_.at("discovery"));
    if (fd < 0) return;
    auto conn = std::make_shared<Conn>(loop_, fd);
    auto ask = [this, raw = conn.get()] {
        raw->send(
            request("GET", "/discovery/hosts?after=" + std::to_string(revision_) + "&wait_ms=2000", "", ""));
    };
    conn->onMessage = [this, ask](Message&& m) {
        json list = json::parse(m.body, nullptr, false);
        if (list.is_object()) revision_ = list.at("revision"), take(list.at("members"));
        ask();
    };
    conn->onClosed = [this, conn](bool) {
        loop_.at(loop_.now() + Span::millis(100), [this, conn] { conn->onMessage = nullptr, watch(); });
    };
    conn->start(true);
    ask();
}

int FalseSender::run() {
    std::string listen = config_.at("listen");
    size_t colon = listen.rfind(':');
    Bound bound = listenOn(listen.substr(0, colon), atoi(listen.c_str() + colon + 1));
    for (const json& lane : config_.at("settings").at("lanes"))
        onceOnly_[lane.at("name")] = lane.at("effect") == "non_idempotent";
    revision_ = config_.at("known").at("revision");
    take(config_.at("known").at("members"));
    std::map<int, std::shared_ptr<Conn>> clients;
    loop_.watch(bound.fd, EPOLLIN, [&](uint32_t) {
        for (int fd; (fd = acceptOne(bound.fd)) >= 0;) {
            auto conn = std::make_shared<Conn>(loop_, fd);
            std::weak_ptr<Conn> weak = conn;
            conn->onMessage = [this, weak](Message&& m) {
                if (auto c = weak.lock()) asked(c, m);
            };
            conn->start();
            clients[fd] = conn;
        }
    });
    watch();
    loop_.run();
    return 0;
}

}  // namespace

const std::vector<std::string>& falsehoods() {
    static const std::vector<std::string> all = {"nothing", "lost",   "double", "twice-out",
                                                 "drain",   "return", "order",  "wait"};
    return all;
}

int runFalseSender(const std::string& falsehood) {
    const char* path = std::getenv("LB_CONFIG");
    std::ifstream file(path ? path : "");
    json config = json::parse(file, nullptr, false);
    if (!config.is_object()) {
        std::cerr << "LB_CONFIG names no configuration\n";
        return 2;
    }
    return FalseSender(std::move(config), falsehood).run();
}

}  // namespace petrelpond::fleet
