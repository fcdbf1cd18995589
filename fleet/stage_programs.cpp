// Of a play: the programs that hand texts in.
#include "fleet/stage_inside.hpp"

#include <algorithm>

namespace petrelpond::fleet {

namespace {

constexpr Span kClientWait = Span::millis(400);

}  // namespace

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

std::shared_ptr<Conn> Stage::connTo(int s, bool fresh) {
    Sender& sender = senders_[static_cast<size_t>(s)];
    while (!fresh && !sender.idle.empty()) {
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
    bool once = scenario_.holds > 0 && chance_() < scenario_.holds * 4294967296.0;
    auto conn = connTo(s, once);
    if (!once || scenario_.ahead <= Span()) return handOn(text, s, conn, once);
    loop_.at(loop_.now() + scenario_.ahead * (chance_() / 4294967296.0),
             [this, text, s, conn] { handOn(text, s, conn && conn->open() ? conn : connTo(s, true), true); });
}

void Stage::handOn(size_t text, int s, std::shared_ptr<Conn> conn, bool once) {
    Instant now = loop_.now();
    const Planned& p = programs_.text(text).plan;
    Instant until = programs_.validUntil(text);
    int64_t left = (until - now).inMicros() / 1000;
    if (left <= 0) {
        programs_.unheard(until, text);
        return;
    }
    auto asked = std::make_shared<Asked>();
    asked->once = once, asked->text = text, asked->sender = s, asked->sentAt = now;
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
    if (scenario_.products[p.product].rules.effect == Effect::idempotencyKey) {
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
    Sender& sender = senders_[static_cast<size_t>(asked->sender)];
    if (!close) (asked->once ? sender.held : sender.idle).push_back(conn);
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

}  // namespace petrelpond::fleet
