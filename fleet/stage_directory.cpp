// Of a play: the directory, and the platform that hears notices.
#include "fleet/stage_inside.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

#include "fleet/parts.hpp"

namespace petrelpond::fleet {

std::string Stage::memberOf(int s, const Entry& entry) const {
    const Group& g = world_.groupOf(entry.endpoint);
    const Sender& sender = senders_[static_cast<size_t>(s)];
    int port = ownListeners_ ? sender.listeners[entry.endpoint].port : sender.shared.port;
    const char* phase = entry.state == ListState::active    ? "ready"
                        : entry.state == ListState::draining ? "draining"
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
        if (scenario_.noticeLate <= Span()) return conn->send(response(204, "", ""));
        loop_.at(loop_.now() + scenario_.noticeLate, [weak = std::weak_ptr<Conn>(conn)] {
            if (auto c = weak.lock(); c && c->open()) c->send(response(204, "", ""));
        });
        return;
    }
    if (sender.silent) return;  // and the question stays without an answer
    size_t at = m.start.find("after=");
    if (at == std::string::npos) {
        // The whole list, or where it is too long what the sender knew at its start and all changes since.
        bool whole = world_.endpoints() <= 400;
        if (!whole) return answerWatch(s, conn.get(), 1);
        std::string members;
        for (uint32_t e = 0; e < world_.endpoints(); ++e) {
            if (world_.listed(e) == ListState::removed) continue;
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
    if (after < revision_ && !sender.old) return answerWatch(s, conn.get(), after);
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
    if (sender.silent || !conn->open()) return;
    bool news = false;
    std::string list = sender.old
                           ? "{\"revision\":" + std::to_string(after) + ",\"complete\":false,\"members\":[]}"
                           : listSince(s, after, news);
    conn->send(response(200, "", list));
}

void Stage::listChanged() {
    for (int s = 0; s < scenario_.senders; ++s) {
        if (senders_[static_cast<size_t>(s)].silent || senders_[static_cast<size_t>(s)].old) continue;
        auto watches = senders_[static_cast<size_t>(s)].watches;
        for (const auto& [conn, watch] : watches) {
            if (watch.first < revision_) answerWatch(s, conn, watch.first);
        }
    }
}

}  // namespace petrelpond::fleet
