#include "fleet/stage.hpp"

#include <arpa/inet.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <deque>
#include <list>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "fleet/net.hpp"
#include "fleet/parts.hpp"
#include "fleet/world.hpp"

namespace petrelpond::fleet {

namespace {

constexpr int kListenersMost = 4000;
constexpr Span kClientWait = Span::millis(400), kDirectoryGoes = Span::millis(1500),
               kUpWithin = Span::seconds(30);
constexpr double kVoidLateMs = 50;  // the rules' own slack: later than that the judge is no judge

std::string idFor(RequestNo no) {
    char id[32];
    snprintf(id, sizeof id, "%08x%08x", no, no * 2654435761u);
    return id;
}
std::optional<RequestNo> requestFrom(std::string_view id) {
    if (id.size() != 16) return std::nullopt;
    auto no = static_cast<RequestNo>(strtoul(std::string(id.substr(0, 8)).c_str(), nullptr, 16));
    return idFor(no) == id ? std::optional(no) : std::nullopt;
}
std::string bodyFor(RequestNo no, int size) {
    std::string body = idFor(no);
    body.resize(static_cast<size_t>(size), static_cast<char>('a' + no % 26));
    return body;
}
std::string hostText(uint32_t host) {
    return std::to_string(host >> 24) + "." + std::to_string(host >> 16 & 255) + "." +
           std::to_string(host >> 8 & 255) + "." + std::to_string(host & 255);
}
// Each sender meets each endpoint at an address of its own, so that the stand-ins know who calls whom.
uint32_t hostOf(int sender, uint32_t endpoint) {
    uint32_t at = endpoint + 1;
    return 127u << 24 | static_cast<uint32_t>(10 + sender) << 16 | (at >> 8) << 8 | (at & 255);
}
void raiseDescriptors() {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

class Stage {
  public:
    Stage(const Scenario& scenario, uint64_t seed, const StageOptions& options)
        : scenario_(scenario), options_(options), world_(scenario, seed), judge_(scenario),
          programs_(scenario, plan(scenario, seed)), chance_(static_cast<uint32_t>(seed * 7 + 1)),
          seed_(seed) {}
    ~Stage() {
        for (auto& s : senders_) {
            for (Bound& l : s.listeners) closeListener(l);
            closeListener(s.shared), closeListener(s.directory);
        }
    }
    RunResult play();

  private:
    struct CallOut {
        Judge::CallNo no = 0;
        std::vector<RequestNo> texts;
        Loop::Timer timer;
        bool open = true, timed = false;
    };
    struct Line {  // a sender's connection to an endpoint
        std::shared_ptr<Conn> conn;
        int sender = 0;
        uint32_t endpoint = 0;
        int generation = 0;
        std::shared_ptr<CallOut> call;
        Loop::Timer idle;
        bool idleSet = false;
    };
    struct Sender {
        std::unique_ptr<SenderProcess> process;
        Bound shared, directory;
        std::vector<Bound> listeners;  // by endpoint, where each has its own
        std::string listen;
        std::vector<std::shared_ptr<Conn>> idle;  // of the programs, to it
        std::list<std::shared_ptr<Conn>> agents;  // its connections to the directory and the platform
        std::unordered_map<Conn*, std::pair<int64_t, Loop::Timer>> watches;
        int64_t heard = 0;  // revision of the list last written to it
        bool up = false, wanted = true;
        Instant askedAt;
    };
    struct Entry {  // of the directory's log
        int64_t revision = 0;
        uint32_t endpoint = 0;
        int generation = 0;
        Listed state = Listed::active;
    };
    struct Asked {  // a program's request under way
        size_t text = 0;
        RequestNo request = 0;
        int sender = 0;
        Loop::Timer timer;
        bool answered = false;
        Instant sentAt;
    };

    // partners
    void listenFor(int sender);
    void openListener(int sender, uint32_t endpoint, int port);
    void closeListener(Bound& bound);
    void acceptCall(int sender, int listener, std::optional<uint32_t> endpoint);
    void lineIsIdle(const std::shared_ptr<Line>& line);
    void callCame(const std::shared_ptr<Line>& line, Message&& message);
    void endCall(const std::shared_ptr<Line>& line, std::shared_ptr<CallOut> call, int status, bool neverRan,
                 Span wait);
    void lineClosed(const std::shared_ptr<Line>& line);
    void happenings();
    void standing(uint32_t endpoint, Standing standing);

    // directory and platform
    std::string memberOf(int sender, const Entry& entry) const;
    std::string listSince(int sender, int64_t after, bool& news);
    void acceptAgent(int sender);
    void agentAsked(int sender, const std::shared_ptr<Conn>& conn, const Message& message);
    void answerWatch(int sender, Conn* conn, int64_t after);
    void listChanged();

    // senders
    void startSender(int sender);
    void pollUp(int sender);
    void senderFault(const Happening& h);

    // programs
    void handIn(size_t text);
    void handTo(size_t text, int sender);
    std::shared_ptr<Conn> connTo(int sender);
    void answered(const std::shared_ptr<Asked>& asked, const std::shared_ptr<Conn>& conn,
                  const Message& message);
    void unheard(const std::shared_ptr<Asked>& asked);
    void again(size_t text, std::optional<Instant> at) {
        if (at) loop_.at(*at, [this, text] { handIn(text); });
    }
    void textEnded(RequestNo request);

    void everySecond();
    void ping();
    RunResult sum();

    const Scenario& scenario_;
    const StageOptions& options_;
    Loop loop_;
    World world_;
    Judge judge_;
    Programs programs_;
    std::mt19937 chance_;
    uint64_t seed_;
    std::vector<Sender> senders_;
    std::vector<std::unordered_set<std::shared_ptr<Line>>> lines_;  // by endpoint
    std::unordered_map<uint32_t, std::vector<int>> plugs_;          // of vanished endpoints
    std::vector<Entry> log_;
    int64_t revision_ = 1;
    bool ownListeners_ = true, directorySilent_ = false, directoryOld_ = false, begun_ = false;
    std::vector<size_t> textOf_;   // by request
    std::vector<Instant> sentAt_;  // by request, where samples are taken
    std::shared_ptr<Conn> pinging_;
    Instant pingedAt_;
    std::vector<SecondOf> series_;
    Latencies entry_;
    long tippedPlaces_ = 0;
    int failedStarts_ = 0;
    std::string trouble_;
    size_t nextText_ = 0;
};

// ---- partners

void Stage::listenFor(int s) {
    Sender& sender = senders_[static_cast<size_t>(s)];
    if (!ownListeners_) {
        sender.shared = listenOnLoopback();
        loop_.watch(sender.shared.fd, EPOLLIN,
                    [this, s, fd = sender.shared.fd](uint32_t) { acceptCall(s, fd, std::nullopt); });
        return;
    }
    sender.listeners.resize(world_.endpoints());
    for (uint32_t e = 0; e < world_.endpoints(); ++e) openListener(s, e, 0);
}

void Stage::openListener(int s, uint32_t e, int port) {
    Bound& bound = senders_[static_cast<size_t>(s)].listeners[e];
    bound = listenOn(hostText(hostOf(s, e)), port);
    loop_.watch(bound.fd, EPOLLIN, [this, s, e, fd = bound.fd](uint32_t) { acceptCall(s, fd, e); });
}

void Stage::closeListener(Bound& bound) {
    if (bound.fd < 0) return;
    loop_.forget(bound.fd);
    ::close(std::exchange(bound.fd, -1));
}

void Stage::acceptCall(int s, int listener, std::optional<uint32_t> known) {
    for (int i = 0; i < 64; ++i) {
        int fd = acceptOne(listener);
        if (fd < 0) return;
        uint32_t e = known ? *known : ((localHost(fd) & 0xffff) - 1);
        auto conn = std::make_shared<Conn>(loop_, fd);
        if (e >= world_.endpoints() || !world_.takesConnection(e, static_cast<int>(lines_[e].size()))) {
            judge_.reached(loop_.now(), s,
                           std::min<uint32_t>(e, static_cast<uint32_t>(world_.endpoints()) - 1));
            conn->reset();
            continue;
        }
        auto line = std::make_shared<Line>();
        line->conn = conn, line->sender = s, line->endpoint = e, line->generation = world_.generation(e);
        lines_[e].insert(line);
        std::weak_ptr<Line> weak = line;
        conn->onMessage = [this, weak](Message&& m) {
            if (auto l = weak.lock()) callCame(l, std::move(m));
        };
        conn->onClosed = [this, weak](bool) {
            if (auto l = weak.lock()) lineClosed(l);
        };
        conn->start();
        lineIsIdle(line);
    }
}

void Stage::lineIsIdle(const std::shared_ptr<Line>& line) {
    std::weak_ptr<Line> weak = line;
    line->idleSet = true;
    line->conn->idleSince = loop_.now();
    line->idle = loop_.at(loop_.now() + world_.idleFor(line->endpoint), [this, weak] {
        auto l = weak.lock();
        if (!l || l->call) return;
        l->idleSet = false;
        l->conn->close();
        lineClosed(l);
    });
}

void Stage::callCame(const std::shared_ptr<Line>& line, Message&& m) {
    Instant now = loop_.now();
    if (line->idleSet) loop_.cancel(line->idle), line->idleSet = false;
    uint32_t e = line->endpoint;
    std::vector<RequestNo> texts;
    auto odd = [&](const std::string& why) {
        // A call that nobody handed in voids the run: something but the rules is wrong.
        if (trouble_.empty()) trouble_ = "an endpoint got what it can't read: " + why;
        line->conn->send(response(400, "", ""));
        lineIsIdle(line);
    };
    bool bundle = m.start.starts_with("POST /events/bundle ");
    if (bundle) {
        auto list = nlohmann::json::parse(m.body, nullptr, false);
        if (!list.is_array() || list.empty()) return odd("a bundle that is no array");
        for (const auto& item : list) {
            auto r = requestFrom(item.value("id", ""));
            if (!r || *r >= textOf_.size()) return odd("an unknown id in a bundle");
            texts.push_back(*r);
        }
        if (static_cast<int>(texts.size()) > world_.groupOf(e).batch) {
            line->conn->send(response(413, "", ""));
            return lineIsIdle(line);
        }
    } else if (m.start.starts_with("POST /events ")) {
        auto r = requestFrom(m.field("Request-Id"));
        if (!r || *r >= textOf_.size())
            return odd("an unknown id '" + std::string(m.field("Request-Id")) + "'");
        int size = programs_.text(textOf_[*r]).plan.body;
        if (m.body != bodyFor(*r, size)) return odd("a body that was changed");
        texts.push_back(*r);
    } else {
        return odd(m.start);
    }
    Fate fate = world_.called(now, e, static_cast<int>(texts.size()), line->conn->calls > 1);
    for (uint32_t d : world_.takeTipped()) ++tippedPlaces_, judge_.tipped(now, d);
    SecondOf& second = series_[std::min(series_.size() - 1,
                                        static_cast<size_t>(std::max<int64_t>(now.inMicros(), 0) / 1000000))];
    ++second.calls, ++second.groupCalls[world_.groupIndex(e)];
    if (fate.way == Fate::Way::answer && fate.status != 200) ++second.refusedCalls;
    if (fate.way == Fate::Way::resetBefore) {
        // As though its last byte had never come: no call, by the rules.
        judge_.reached(now, line->sender, e);
        line->conn->reset();
        return lineClosed(line);
    }
    for (RequestNo r : texts) programs_.calledFirst(now, textOf_[r]);
    if (options_.samples) {
        for (RequestNo r : texts) {
            options_.samples->called.push_back({programs_.text(textOf_[r]).plan.at, sentAt_[r], m.firstByte,
                                                line->conn->calls == 1});
        }
    }
    auto call = std::make_shared<CallOut>();
    call->no = judge_.called(m.firstByte, now, line->sender, e, line->generation, texts);
    call->texts = texts;
    line->call = call;
    std::weak_ptr<Line> weak = line;
    if (fate.way == Fate::Way::silence && !fate.runs) return;
    int epoch = world_.generation(e);
    call->timed = true;
    call->timer = loop_.at(now + fate.takes, [this, weak, call, fate, e, epoch, bundle] {
        Instant at = loop_.now();
        call->timed = false;
        // Work goes on though nobody waits for it any more, unless its process has gone.
        if (world_.standing(e) == Standing::down || world_.generation(e) != epoch) return;
        if (fate.runs) judge_.ran(at, call->no);
        auto l = weak.lock();
        if (!l || l->call != call || !l->conn->open()) return;
        switch (fate.way) {
            case Fate::Way::answer: {
                std::string fields, body;
                if (fate.wait > Span())
                    fields = "Wait-Ms: " + std::to_string(fate.wait.inMicros() / 1000) + "\r\n";
                if (bundle && fate.status == 200) {
                    nlohmann::json all = nlohmann::json::array();
                    for (RequestNo r : call->texts) all.push_back({{"id", idFor(r)}, {"state", "accepted"}});
                    body = all.dump();
                }
                bool neverRan = fate.status == 429 || fate.status == 503;
                endCall(l, call, fate.status, neverRan, fate.wait);
                l->conn->send(response(fate.status, fields, body));
                return lineIsIdle(l);
            }
            case Fate::Way::silence:
                return;  // its answer is lost; the call is out until the sender gives it up
            case Fate::Way::resetDuring:
            case Fate::Way::resetAfter:
                endCall(l, call, 0, false, Span());
                l->conn->reset();
                return lineClosed(l);
            case Fate::Way::half:
                endCall(l, call, 0, false, Span());
                l->conn->send("HTTP/1.1 2");
                l->conn->close();
                return lineClosed(l);
            case Fate::Way::spoilt:
                endCall(l, call, 0, false, Span());
                return l->conn->send(std::string("\x01\x93 9%%\r\n: no head\r\n\r\n", 20));
            case Fate::Way::drip: {
                // A letter every 50 ms, of a head that never ends.
                auto drip = std::make_shared<std::function<void(int)>>();
                *drip = [this, weak, call, drip](int i) {
                    auto open = weak.lock();
                    if (!open || open->call != call || !open->conn->open() || i > 400) return;
                    open->conn->send(i == 0 ? "HTTP/1.1 " : "9");
                    loop_.at(loop_.now() + Span::millis(50), [drip, i] { (*drip)(i + 1); });
                };
                return (*drip)(0);
            }
            case Fate::Way::resetBefore:
                return;
        }
    });
}

void Stage::endCall(const std::shared_ptr<Line>& line, std::shared_ptr<CallOut> call, int status,
                    bool neverRan, Span wait) {
    if (!call->open) return;
    call->open = false;
    if (line->call == call) line->call = nullptr;  // `call` is a copy for this line's sake
    Instant now = loop_.now();
    judge_.ended(now, call->no, status, neverRan, wait);
    for (RequestNo r : call->texts) textEnded(r);
}

void Stage::textEnded(RequestNo r) {
    if (judge_.endOf(r) == Judge::End::delivered) programs_.delivered(judge_.endedAt(r), textOf_[r]);
}

void Stage::lineClosed(const std::shared_ptr<Line>& line) {
    if (line->idleSet) loop_.cancel(line->idle), line->idleSet = false;
    if (line->call) endCall(line, line->call, 0, false, Span());
    line->conn->close();
    lines_[line->endpoint].erase(line);
}

void Stage::standing(uint32_t e, Standing standing) {
    auto lines = lines_[e];
    for (const auto& line : lines) {
        if (line->call) endCall(line, line->call, 0, false, Span());
        if (standing == Standing::vanished) {
            line->conn->deaf();
        } else {
            line->conn->reset();
            lineClosed(line);
        }
    }
    for (int s = 0; s < scenario_.senders; ++s) {
        Bound& bound = senders_[static_cast<size_t>(s)].listeners[e];
        auto& plugs = plugs_[e];
        switch (standing) {
            case Standing::down:
                closeListener(bound);
                break;
            case Standing::vanished:
                // Its backlog filled by ourselves, what would connect never comes up.
                loop_.forget(bound.fd);
                listen(bound.fd, 0);
                for (int i = 0; i < 2; ++i) plugs.push_back(connectTo(bound.address));
                break;
            case Standing::up:
                for (int fd : plugs) ::close(fd);
                plugs.clear();
                if (bound.fd >= 0) closeListener(bound);
                openListener(s, e, bound.port);
                break;
        }
    }
}

void Stage::happenings() {
    Instant now = loop_.now();
    std::vector<bool> were;
    for (int d = 0; d < scenario_.destinations(); ++d) were.push_back(world_.out(static_cast<uint32_t>(d)));
    world_.advance(now);
    bool listed = false;
    while (auto h = world_.next()) {
        switch (h->what) {
            case Happening::What::listed:
                log_.push_back({++revision_, h->endpoint, h->generation, h->state});
                listed = true;
                break;
            case Happening::What::replaced: {
                if (h->trouble == Trouble::replace) {
                    // A new process at the old address: connections to the old one are gone.
                    auto lines = lines_[h->endpoint];
                    for (const auto& line : lines) {
                        if (line->call) endCall(line, line->call, 0, false, Span());
                        line->conn->reset();
                        lineClosed(line);
                    }
                }
                log_.push_back({++revision_, h->endpoint, h->generation, Listed::active});
                listed = true;
                break;
            }
            case Happening::What::standing:
                standing(h->endpoint, h->standing);
                break;
            case Happening::What::directory:
                if (h->trouble == Trouble::directorySilent) directorySilent_ = h->begins;
                if (h->trouble == Trouble::directoryOld) directoryOld_ = h->begins;
                if (h->trouble == Trouble::directoryMove && h->begins) {
                    for (int s = 0; s < scenario_.senders; ++s) {
                        Sender& sender = senders_[static_cast<size_t>(s)];
                        Bound old = std::exchange(sender.directory, Bound());
                        loop_.forget(old.fd);
                        ::close(old.fd);
                        auto agents = sender.agents;
                        loop_.at(now + kDirectoryGoes, [this, s, agents] {
                            for (const auto& conn : agents)
                                conn->reset(), senders_[static_cast<size_t>(s)].watches.erase(conn.get());
                        });
                        sender.directory = listenOn("127.1.1." + std::to_string(s + 1), 0);
                        loop_.watch(sender.directory.fd, EPOLLIN, [this, s](uint32_t) { acceptAgent(s); });
                        sender.process->moveDiscovery(sender.directory.address);
                    }
                }
                listed = listed || !h->begins;
                break;
            case Happening::What::sender:
                senderFault(*h);
                break;
        }
    }
    for (int d = 0; d < scenario_.destinations(); ++d) {
        bool out = world_.out(static_cast<uint32_t>(d));
        if (out != were[static_cast<size_t>(d)]) judge_.outage(now, static_cast<uint32_t>(d), out);
    }
    if (listed) listChanged();
    if (auto at = world_.nextChange()) loop_.at(*at, [this] { happenings(); });
}

// ---- directory and platform

std::string Stage::memberOf(int s, const Entry& entry) const {
    const Group& g = world_.groupOf(entry.endpoint);
    const Sender& sender = senders_[static_cast<size_t>(s)];
    int port = ownListeners_ ? sender.listeners[entry.endpoint].port : sender.shared.port;
    const char* phase = entry.state == Listed::active    ? "ready"
                        : entry.state == Listed::leaving ? "draining"
                                                         : "gone";
    std::string id = "e" + std::to_string(entry.endpoint);
    if (entry.generation > 0) id += "-" + std::to_string(entry.generation);
    std::ostringstream out;
    out << "{\"id\":\"" << id << "\",\"host_port\":\"" << hostText(hostOf(s, entry.endpoint)) << ':' << port
        << "\",\"locality\":\"" << world_.zoneOf(entry.endpoint) << "\",\"flavor\":\"" << g.name
        << "\",\"cell\":" << world_.destinationOf(entry.endpoint) << ",\"phase\":\"" << phase
        << "\",\"size\":" << listedRate(g) << ",\"up_since_ms\":0}";
    return out.str();
}

// What changed behind that revision, in pages that a body of 64 KiB holds.
std::string Stage::listSince(int s, int64_t after, bool& news) {
    std::string members;
    int64_t revision = after;
    news = false;
    for (const Entry& entry : log_) {
        if (entry.revision <= after) continue;
        if (members.size() > 50000) break;
        members += (members.empty() ? "" : ",") + memberOf(s, entry);
        revision = entry.revision, news = true;
        judge_.told(loop_.now(), s, entry.endpoint, entry.generation, entry.state);
    }
    senders_[static_cast<size_t>(s)].heard = std::max(senders_[static_cast<size_t>(s)].heard, revision);
    return "{\"revision\":" + std::to_string(revision) + ",\"complete\":false,\"members\":[" + members + "]}";
}

void Stage::acceptAgent(int s) {
    Sender& sender = senders_[static_cast<size_t>(s)];
    while (true) {
        int fd = acceptOne(sender.directory.fd);
        if (fd < 0) return;
        auto conn = std::make_shared<Conn>(loop_, fd);
        sender.agents.push_back(conn);
        std::weak_ptr<Conn> weak = conn;
        conn->onMessage = [this, s, weak](Message&& m) {
            if (auto c = weak.lock()) agentAsked(s, c, m);
        };
        conn->onClosed = [this, s, weak](bool) {
            auto c = weak.lock();
            Sender& of = senders_[static_cast<size_t>(s)];
            if (auto watch = of.watches.find(c.get()); watch != of.watches.end()) {
                loop_.cancel(watch->second.second);
                of.watches.erase(watch);
            }
            of.agents.remove(c);
        };
        conn->start();
    }
}

void Stage::agentAsked(int s, const std::shared_ptr<Conn>& conn, const Message& m) {
    Sender& sender = senders_[static_cast<size_t>(s)];
    if (m.start.starts_with("POST /v2/finals ")) {
        std::istringstream lines(m.body);
        for (std::string text; std::getline(lines, text);) {
            auto notice = nlohmann::json::parse(text, nullptr, false);
            std::string result = notice.is_object() ? notice.value("result", "") : "";
            auto r = notice.is_object() ? requestFrom(notice.value("ref", "")) : std::nullopt;
            if (!r || *r >= textOf_.size() || (result != "dead" && result != "bounced")) {
                if (trouble_.empty()) trouble_ = "a notice that can't be read: " + text;
                return conn->send(response(400, "", ""));
            }
            bool was = judge_.endOf(*r) == Judge::End::open;
            judge_.noticed(loop_.now(), *r, result == "bounced");
            if (!was) continue;
            size_t t = textOf_[*r];
            if (result == "bounced") {
                again(t, programs_.refused(loop_.now(), t, Span::millis(notice.value("wait_ms", 0))));
            } else {
                programs_.undeliverable(loop_.now(), t);
            }
        }
        return conn->send(response(204, "", ""));
    }
    if (directorySilent_) return;  // and the question stays without an answer
    size_t at = m.start.find("after=");
    if (at == std::string::npos) {
        // The whole list, or where it is too long what the sender knew at its start and all changes since.
        bool whole = world_.endpoints() <= 400;
        if (!whole) return answerWatch(s, conn.get(), 1);
        std::string members;
        for (uint32_t e = 0; e < world_.endpoints(); ++e) {
            if (world_.listed(e) == Listed::gone) continue;
            members +=
                (members.empty() ? "" : ",") + memberOf(s, {0, e, world_.generation(e), world_.listed(e)});
            judge_.told(loop_.now(), s, e, world_.generation(e), world_.listed(e));
        }
        for (const Entry& entry : log_)
            judge_.told(loop_.now(), s, entry.endpoint, entry.generation, entry.state);
        sender.heard = revision_;
        return conn->send(response(200, "",
                                   "{\"revision\":" + std::to_string(revision_) +
                                       ",\"complete\":true,\"members\":[" + members + "]}"));
    }
    int64_t after = atoll(m.start.c_str() + at + 6);
    Span wait = Span::seconds(2);
    if (size_t w = m.start.find("wait_ms="); w != std::string::npos) {
        wait = Span::millis(std::min<int64_t>(atoll(m.start.c_str() + w + 8), 60000));
    }
    if (after < revision_ && !directoryOld_) return answerWatch(s, conn.get(), after);
    auto timer = loop_.at(loop_.now() + wait, [this, s, weak = std::weak_ptr<Conn>(conn), after] {
        if (auto c = weak.lock()) answerWatch(s, c.get(), after);
    });
    sender.watches[conn.get()] = {after, timer};
}

void Stage::answerWatch(int s, Conn* conn, int64_t after) {
    Sender& sender = senders_[static_cast<size_t>(s)];
    if (auto watch = sender.watches.find(conn); watch != sender.watches.end()) {
        loop_.cancel(watch->second.second);
        sender.watches.erase(watch);
    }
    if (directorySilent_ || !conn->open()) return;
    bool news = false;
    std::string list = directoryOld_
                           ? "{\"revision\":" + std::to_string(after) + ",\"complete\":false,\"members\":[]}"
                           : listSince(s, after, news);
    conn->send(response(200, "", list));
}

void Stage::listChanged() {
    if (directorySilent_ || directoryOld_) return;
    for (int s = 0; s < scenario_.senders; ++s) {
        auto watches = senders_[static_cast<size_t>(s)].watches;
        for (const auto& [conn, watch] : watches) {
            if (watch.first < revision_) answerWatch(s, conn, watch.first);
        }
    }
}

// ---- senders

void Stage::startSender(int s) {
    Sender& sender = senders_[static_cast<size_t>(s)];
    sender.wanted = true, sender.up = false, sender.askedAt = loop_.now();
    sender.process->start();
    judge_.started(loop_.now(), s);
    pollUp(s);
}

void Stage::pollUp(int s) {
    Sender& sender = senders_[static_cast<size_t>(s)];
    if (!sender.wanted || sender.up) return;
    if (!sender.process->running()) {
        trouble_ =
            "sender " + std::to_string(s) + " ended by itself; its log is in " + sender.process->folder();
        if (!begun_) loop_.stop();
        return;
    }
    if (loop_.now() - sender.askedAt > kUpWithin) {
        trouble_ =
            "sender " + std::to_string(s) + " does not come up; its log is in " + sender.process->folder();
        if (!begun_) loop_.stop();
        return;
    }
    loop_.at(loop_.now() + Span::millis(20), [this, s] { pollUp(s); });
    int fd = connectTo(sender.listen);
    if (fd < 0) return;
    auto conn = std::make_shared<Conn>(loop_, fd);
    conn->onMessage = [this, s, keep = conn](Message&& m) {
        Sender& of = senders_[static_cast<size_t>(s)];
        if (m.status() == 200 && !of.up) {
            of.up = true;
            judge_.started(loop_.now(), s);
            // What it was started with says what it knew; what is listed as leaving it hears from the
            // directory.
            bool all = std::all_of(senders_.begin(), senders_.end(), [](const Sender& x) { return x.up; });
            if (all && !begun_) loop_.stop();
        }
        keep->onClosed = nullptr;
        keep->close();
        loop_.at(loop_.now(), [keep] { keep->onMessage = nullptr; });
    };
    std::weak_ptr<Conn> weak = conn;
    conn->onClosed = [this, keep = conn](bool) {
        loop_.at(loop_.now(), [keep] { keep->onMessage = nullptr; });
    };
    conn->start(true);
    conn->send(request("GET", "/up", "", ""));
    loop_.at(loop_.now() + Span::seconds(1), [weak] {
        if (auto c = weak.lock()) c->close(), c->onClosed = nullptr, c->onMessage = nullptr;
    });
}

void Stage::senderFault(const Happening& h) {
    int s = h.sender;
    Sender& sender = senders_[static_cast<size_t>(s)];
    Instant now = loop_.now();
    if (h.trouble == Trouble::senderStop) {
        sender.process->signal(h.begins ? SIGSTOP : SIGCONT);
        return judge_.stopped(now, s, h.begins);
    }
    auto down = [this, s] {
        Sender& of = senders_[static_cast<size_t>(s)];
        judge_.killed(loop_.now(), s);
        of.process->kill();
        of.up = false, of.wanted = false, of.idle.clear();
    };
    if (h.trouble == Trouble::senderKill) {
        if (h.begins) return down();
        return startSender(s);
    }
    // A planned restart: told, killed 3.7 s later, started again 0.6 s after that; `for` lengthens the pause.
    if (!h.begins) return;
    sender.process->signal(SIGTERM);
    loop_.at(now + Span::millis(300), [this, s] { senders_[static_cast<size_t>(s)].up = false; });
    loop_.at(now + Span::millis(3700), [down] { down(); });
    loop_.at(now + Span::millis(4300) + h.lasts, [this, s] { startSender(s); });
}

// ---- programs

void Stage::handIn(size_t text) {
    if (programs_.text(text).end != Programs::End::open) return;
    std::vector<int> up;
    // Texts with a key come to one sender while it runs.
    uint64_t key = programs_.text(text).plan.key;
    for (int s = 0; s < scenario_.senders; ++s) {
        if (senders_[static_cast<size_t>(s)].up) up.push_back(s);
    }
    if (up.empty()) return again(text, programs_.unheard(loop_.now() + Span::millis(80), text));
    int s = key > 0 ? static_cast<int>(key % static_cast<uint64_t>(scenario_.senders))
                    : up[chance_() % up.size()];
    if (!senders_[static_cast<size_t>(s)].up) s = up[chance_() % up.size()];
    handTo(text, s);
}

std::shared_ptr<Conn> Stage::connTo(int s) {
    Sender& sender = senders_[static_cast<size_t>(s)];
    while (!sender.idle.empty()) {
        auto conn = std::move(sender.idle.back());
        sender.idle.pop_back();
        if (conn->open()) return conn;
    }
    int fd = connectTo(sender.listen);
    if (fd < 0) return nullptr;
    auto conn = std::make_shared<Conn>(loop_, fd);
    conn->start(true);
    return conn;
}

void Stage::handTo(size_t text, int s) {
    Instant now = loop_.now();
    const Planned& p = programs_.text(text).plan;
    Instant until = programs_.validUntil(text);
    int64_t left = (until - now).inMicros() / 1000;
    if (left <= 0) {
        programs_.unheard(until, text);
        return;
    }
    auto conn = connTo(s);
    auto asked = std::make_shared<Asked>();
    asked->text = text, asked->sender = s, asked->sentAt = now;
    asked->request = judge_.handed(now, s, p.product, p.destination, until, p.key);
    textOf_.push_back(text);
    if (options_.samples) sentAt_.push_back(now);
    programs_.handedIn(text);
    if (!conn) return unheard(asked);
    std::string target = "/" + scenario_.products[p.product].name;
    if (p.key > 0) target += "?subject=k" + std::to_string(p.key);
    std::string fields = "Request-Id: " + idFor(asked->request) +
                         "\r\nRequest-Timeout-Ms: " + std::to_string(left) +
                         "\r\nEnvelope: dest=" + std::to_string(p.destination) + "\r\n";
    if (scenario_.products[p.product].rules.effect == Effect::referenced) {
        fields += "Idempotency-Key: m" + std::to_string(text) + "\r\n";
    }
    if (programs_.text(text).tries > 1) fields += "Client-Retry: 1\r\n";
    conn->onMessage = [this, asked, weak = std::weak_ptr<Conn>(conn)](Message&& m) {
        if (auto c = weak.lock()) answered(asked, c, m);
    };
    conn->onClosed = [this, asked, conn](bool) {
        if (asked->answered) return;
        loop_.cancel(asked->timer);
        asked->answered = true;
        unheard(asked);
    };
    asked->timer = loop_.at(now + kClientWait, [this, asked, weak = std::weak_ptr<Conn>(conn)] {
        asked->answered = true;
        if (auto c = weak.lock()) c->onClosed = nullptr, c->close();
        unheard(asked);
    });
    conn->send(request("POST", target, fields, bodyFor(asked->request, p.body)));
}

void Stage::unheard(const std::shared_ptr<Asked>& asked) {
    judge_.dropped(loop_.now(), asked->request);
    again(asked->text, programs_.unheard(loop_.now(), asked->text));
}

void Stage::answered(const std::shared_ptr<Asked>& asked, const std::shared_ptr<Conn>& conn,
                     const Message& m) {
    if (asked->answered) return;
    asked->answered = true;
    loop_.cancel(asked->timer);
    Instant now = loop_.now();
    conn->onClosed = [](bool) {};
    bool close = m.field("Connection") == "close";
    if (close) conn->close();
    if (!close) senders_[static_cast<size_t>(asked->sender)].idle.push_back(conn);
    int status = m.status();
    if (status == 202 || status == 200) {
        entry_.add((now - asked->sentAt).inSeconds() * 1e3);
        if (options_.samples) options_.samples->entries.push_back((now - asked->sentAt).inSeconds() * 1e3);
        judge_.taken(now, asked->request);
        return textEnded(asked->request);
    }
    judge_.dropped(now, asked->request);
    if (status == 429 || status == 503) {
        auto pause = m.field("Retry-After");
        double seconds = pause.empty() ? 0.5 : atof(std::string(pause).c_str());
        return again(asked->text, programs_.refused(now, asked->text, Span::seconds(seconds)));
    }
    programs_.undeliverable(now, asked->text);
}

// ---- the run

void Stage::everySecond() {
    auto ix = static_cast<size_t>(std::max<int64_t>(loop_.now().inMicros(), 0) / 1000000);
    if (ix >= series_.size()) return;
    SecondOf& second = series_[ix];
    size_t planned = 0;
    while (planned < programs_.size() && programs_.text(planned).plan.at <= loop_.now()) ++planned;
    second.open = programs_.open() - static_cast<long>(programs_.size() - planned);
    for (const auto& lines : lines_) {
        for (const auto& line : lines) second.out += line->call ? 1 : 0;
    }
    for (uint32_t d = 0; d < static_cast<uint32_t>(scenario_.destinations()); ++d) {
        second.groupLimits[world_.groupIndex(world_.firstOf(d))] += world_.capability(loop_.now(), d);
    }
    for (Sender& s : senders_) s.process->measure();
    if (options_.progress) {
        std::ostringstream words;
        words << ix << "/" << (scenario_.lasts + scenario_.settle).inSeconds() << " s: " << planned
              << " handed in, " << second.open << " open, " << second.out << " calls out, "
              << judge_.breaches().size() << " breaches";
        options_.progress(words.str());
    }
    loop_.at(Instant() + Span::seconds(static_cast<double>(ix) + 1), [this] { everySecond(); });
}

// The shortest way there and back: a request that touches neither the store nor the module.
void Stage::ping() {
    if (!pinging_ || !pinging_->open()) {
        int fd = connectTo(senders_.front().listen);
        if (fd < 0) return;
        pinging_ = std::make_shared<Conn>(loop_, fd);
        pinging_->onMessage = [this](Message&&) {
            // The first one of a connection has its handshake in it.
            if (pinging_->calls > 1) options_.samples->pings.push_back((loop_.now() - pingedAt_).inSeconds() * 1e3);
        };
        pinging_->start(true);
    }
    pingedAt_ = loop_.now();
    pinging_->send(request("GET", "/alive", "", ""));
    loop_.at(loop_.now() + Span::millis(17), [this] { ping(); });
}

RunResult Stage::play() {
    raiseDescriptors();
    signal(SIGPIPE, SIG_IGN);
    ownListeners_ = scenario_.endpoints() * scenario_.senders <= kListenersMost;
    for (const Fault& f : scenario_.faults) {
        bool needs = f.what == Trouble::down || f.what == Trouble::vanish || f.what == Trouble::go;
        if (needs && !ownListeners_) {
            throw std::runtime_error(std::string(wordOf(f.what)) +
                                     " needs a listener for each endpoint and sender, " +
                                     std::to_string(kListenersMost) + " at most; this fleet has " +
                                     std::to_string(scenario_.endpoints() * scenario_.senders));
        }
    }
    lines_.resize(world_.endpoints());
    senders_.resize(static_cast<size_t>(scenario_.senders));
    auto seconds = static_cast<size_t>((scenario_.lasts + scenario_.settle).inSeconds()) + 2;
    series_.resize(seconds);
    for (SecondOf& s : series_)
        s.groupCalls.resize(scenario_.groups.size()), s.groupLimits.resize(scenario_.groups.size());
    for (int s = 0; s < scenario_.senders; ++s) {
        Sender& sender = senders_[static_cast<size_t>(s)];
        listenFor(s);
        sender.directory = listenOn("127.1.1." + std::to_string(s + 1), 0);
        loop_.watch(sender.directory.fd, EPOLLIN, [this, s](uint32_t) { acceptAgent(s); });
        Bound probe = listenOn("127.1.2." + std::to_string(s + 1), 0);  // a port that is free
        sender.listen = probe.address;
        ::close(probe.fd);
        sender.process = std::make_unique<SenderProcess>(
            scenario_, s, options_.folder + "/sender-" + std::to_string(s), options_.sender);
        std::string members;
        for (uint32_t e = 0; e < world_.endpoints(); ++e) {
            members += (e == 0 ? "" : ",") + memberOf(s, {1, e, 0, Listed::active});
        }
        sender.process->configure(sender.listen, sender.directory.address, "[" + members + "]", 1);
        startSender(s);
    }
    loop_.run();
    if (!trouble_.empty()) throw std::runtime_error(trouble_);
    begun_ = true;
    loop_.forgetLateness();
    loop_.zeroNow();
    // Timers set before the start were of the earlier zero: none matters but the polls, which are over.
    if (auto at = world_.nextChange()) loop_.at(*at, [this] { happenings(); });
    loop_.at(Instant(), [this] { everySecond(); });
    if (options_.samples) loop_.at(Instant() + Span::millis(100), [this] { ping(); });
    std::function<void()> next = [&] {
        // All that is due now, each by its own planned moment; never held up by how the senders fare.
        while (nextText_ < programs_.size() && programs_.text(nextText_).plan.at <= loop_.now())
            handIn(nextText_++);
        if (nextText_ < programs_.size()) loop_.at(programs_.text(nextText_).plan.at, next);
    };
    if (programs_.size() > 0) loop_.at(programs_.text(0).plan.at, next);
    std::function<void()> watch = [&] {
        for (int s = 0; s < scenario_.senders; ++s) {
            Sender& sender = senders_[static_cast<size_t>(s)];
            if (sender.up && !sender.process->running()) {
                sender.up = false;
                if (trouble_.empty()) trouble_ = "sender " + std::to_string(s) + " ended by itself";
            }
        }
        bool calm = programs_.open() == 0 && nextText_ == programs_.size() && !world_.nextChange();
        if (calm || loop_.now() >= Instant() + scenario_.lasts + scenario_.settle) return loop_.stop();
        loop_.at(loop_.now() + Span::millis(50), watch);
    };
    loop_.at(Instant() + scenario_.lasts, watch);
    loop_.run();
    return sum();
}

RunResult Stage::sum() {
    Instant now = loop_.now();
    programs_.finish(now);
    judge_.finish(now);
    RunResult r;
    r.scenario = scenario_.name, r.kind = "sockets", r.program = options_.sender.program, r.seed = seed_;
    r.seconds = scenario_.lasts.inSeconds(), r.wallSeconds = now.inMicros() / 1e6;
    r.series = series_;
    account(scenario_, programs_, r);
    for (Sender& s : senders_) s.process->kill(), r.senders.push_back(s.process->used());
    r.calls = judge_.calls(), r.wastedCalls = judge_.wasted(), r.tippedPlaces = tippedPlaces_;
    r.lateP99 = loop_.lateAt(0.99), r.lateP999 = loop_.lateAt(0.999), r.lateMost = loop_.lateAt(1);
    r.entryMs = entry_.quantile(0.5);
    r.breaches = judge_.breaches(), r.breachCounts = judge_.counts();
    r.voidBecause = trouble_;
    if (r.voidBecause.empty() && r.lateP999 > kVoidLateMs) {
        std::ostringstream words;
        words << "the judge was late: " << r.lateP999 << " ms at its 99.9th percentile, over " << kVoidLateMs;
        r.voidBecause = words.str();
    }
    return r;
}

}  // namespace

RunResult playOnSockets(const Scenario& scenario, uint64_t seed, const StageOptions& options) {
    return Stage(scenario, seed, options).play();
}

SelfSpeed measureSelf(int connections, Span lasts) {
    raiseDescriptors();
    Loop loop;
    Bound listener = listenOn("127.1.3.1", 0);
    std::unordered_set<std::shared_ptr<Conn>> served;
    loop.watch(listener.fd, EPOLLIN, [&](uint32_t) {
        for (int fd; (fd = acceptOne(listener.fd)) >= 0;) {
            auto conn = std::make_shared<Conn>(loop, fd);
            served.insert(conn);
            conn->onMessage = [raw = conn.get()](Message&&) { raw->send(response(200, "", "")); };
            conn->start();
        }
    });
    SelfSpeed speed;
    Latencies trips;
    std::vector<std::shared_ptr<Conn>> programs;
    std::vector<Instant> sentAt(static_cast<size_t>(connections));
    rusage before{}, after{};
    getrusage(RUSAGE_SELF, &before);
    Instant start = loop.now();
    RequestNo no = 0;
    for (size_t i = 0; i < sentAt.size(); ++i) {
        int fd = connectTo(listener.address);
        if (fd < 0) throw std::runtime_error("no descriptor for connection " + std::to_string(i));
        auto conn = std::make_shared<Conn>(loop, fd);
        auto next = [&, raw = conn.get(), i] {
            sentAt[i] = loop.now();
            std::string fields = "Request-Id: " + idFor(no) + "\r\nRequest-Timeout-Ms: 4000\r\n";
            raw->send(request("POST", "/events", fields, bodyFor(no, 200)));
            ++no;
        };
        conn->onMessage = [&, next, i](Message&&) {
            trips.add((loop.now() - sentAt[i]).inSeconds() * 1e3);
            ++speed.texts;
            if (loop.now() - start < lasts) return next();
            loop.stop();
        };
        conn->start(true);
        next();
        programs.push_back(conn);
    }
    loop.run();
    getrusage(RUSAGE_SELF, &after);
    auto cpu = [](const rusage& u) {
        return static_cast<double>(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * 1e6 +
               static_cast<double>(u.ru_utime.tv_usec + u.ru_stime.tv_usec);
    };
    double wall = (loop.now() - start).inSeconds();
    speed.textsPerSecond = static_cast<double>(speed.texts) / wall;
    speed.cpuPerText = (cpu(after) - cpu(before)) / static_cast<double>(std::max(speed.texts, 1L));
    speed.roundTrip = quantilesOf(trips);
    for (auto& c : programs) c->onMessage = nullptr;
    loop.forget(listener.fd);
    ::close(listener.fd);
    return speed;
}

}  // namespace petrelpond::fleet
