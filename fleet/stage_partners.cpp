// Of a play: the partners, each at an address of its own for each sender.
#include "fleet/stage_inside.hpp"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace petrelpond::fleet {

namespace {

constexpr Span kDirectoryGoes = Span::millis(1500);

}  // namespace

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
        if (e < world_.endpoints() && world_.out(world_.destinationOf(e))) ++deadConnections_;
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
    if (world_.out(world_.destinationOf(e))) ++deadCalls_;
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
                log_.push_back({++revision_, h->endpoint, h->generation, ListState::active});
                listed = true;
                break;
            }
            case Happening::What::standing:
                standing(h->endpoint, h->standing);
                break;
            case Happening::What::directory:
                if (h->trouble == Trouble::directorySilent) senders_[static_cast<size_t>(h->sender)].silent = h->begins;
                if (h->trouble == Trouble::directoryOld) senders_[static_cast<size_t>(h->sender)].old = h->begins;
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

}  // namespace petrelpond::fleet
