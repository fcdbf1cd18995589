#include "fleet/crew_model.hpp"

#include <algorithm>
#include <utility>

namespace petrelpond::fleet {

namespace {

constexpr Span kStreamGivenUp = Span::seconds(2);
constexpr size_t kUnreadMost = 200;  // datagrams that a socket holds, about

}  // namespace

CrewModel::CrewModel(CrewSetup setup)
    : setup_(std::move(setup)), links_(setup_.links, setup_.members, setup_.seed), chance_(setup_.seed),
      processes_(static_cast<size_t>(setup_.members)) {
    for (int m = 0; m < setup_.members; ++m) processes_[index(m)].name = m;
}

std::string CrewModel::addressOf(int m) {
    return "10.0." + std::to_string(m >> 8) + "." + std::to_string(m & 255) + ":7000";
}

int CrewModel::memberAt(const std::string& address) const {
    int high = 0, low = 0;
    if (sscanf(address.c_str(), "10.0.%d.%d:7000", &high, &low) != 2) return -1;
    int m = high << 8 | low;
    return m < setup_.members ? m : -1;
}

Instant CrewModel::local(int m, Instant at) const {
    if (setup_.clockRates.empty()) return at;
    return Instant() + (at - Instant()) * setup_.clockRates[index(m) % setup_.clockRates.size()];
}

void CrewModel::push(Instant at, What what, int to, int from, std::shared_ptr<const crew::Message> message) {
    events_.push({at, ++serial_, what, to, from, processes_[index(to)].life, std::move(message)});
}

void CrewModel::start(int m, bool folderLost) {
    Process& p = processes_[index(m)];
    if (folderLost) p.kept = 0;
    crew::Settings s = setup_.each;
    if (s.crew.empty()) s.crew = "crew";
    s.name = nameOf(p.name), s.address = addressOf(m);
    s.seeds.clear();
    int seeds = setup_.seeds == 0 ? setup_.members : std::min(setup_.seeds, setup_.members);
    for (int i = 0; i < seeds; ++i) s.seeds.push_back(addressOf(i));
    ++p.life;
    p.stopped = false, p.since = now_, p.unread.clear(), p.wakeAt = Instant::never();
    p.core = std::make_unique<crew::Members>(std::move(s), chance_(), p.kept, static_cast<uint32_t>(chance_()), local(m, now_));
    pull(m);
}

void CrewModel::startAs(int m, int name) {
    processes_[index(m)].name = name;
    start(m, true);
}

void CrewModel::kill(int m) {
    Process& p = processes_[index(m)];
    p.core.reset();
    p.since = now_, p.stopped = false, p.unread.clear();
    ++p.life;
}

void CrewModel::stop(int m) {
    Process& p = processes_[index(m)];
    if (p.core && !p.stopped) p.stopped = true, p.since = now_;
}

void CrewModel::go(int m) {
    Process& p = processes_[index(m)];
    if (!p.core || !p.stopped) return;
    p.stopped = false, p.since = now_, p.wakeAt = Instant::never();  // what was due meanwhile fell away
    for (auto& [message, source] : std::exchange(p.unread, {})) {
        ++steps_;
        p.core->heard(local(m, now_), message, source);
    }
    pull(m);
}

void CrewModel::leave(int m) {
    Process& p = processes_[index(m)];
    if (!p.core || p.stopped) return;
    p.core->leave(local(m, now_));
    pull(m);
    kill(m);
}

void CrewModel::runUntil(Instant until) {
    while (!events_.empty() && events_.top().at <= until) {
        Event event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at);
        happen(event);
    }
    now_ = until;
}

void CrewModel::happen(const Event& e) {
    Process& p = processes_[index(e.to)];
    // What was meant for an earlier process at that address comes to this one, but for its own timers and streams.
    if (!p.core) {
        if (e.what == What::asked) push(now_ + setup_.hop, What::unanswered, e.from, e.to, nullptr);
        return;
    }
    if (e.what != What::datagram && e.what != What::asked && e.life != p.life) return;
    if (p.stopped) {
        if (e.what == What::datagram && p.unread.size() < kUnreadMost) p.unread.emplace_back(*e.message, addressOf(e.from));
        if (e.what == What::asked) push(now_ + kStreamGivenUp, What::unanswered, e.from, e.to, nullptr);
        return;
    }
    ++steps_;
    Instant at = local(e.to, now_);
    switch (e.what) {
        case What::wake:
            if (e.at != p.wakeAt) return;
            p.wakeAt = Instant::never();
            break;
        case What::datagram:
            p.core->heard(at, *e.message, addressOf(e.from));
            break;
        case What::asked: {
            p.core->heard(at, *e.message, addressOf(e.from));
            auto answer = std::make_shared<crew::Message>(p.core->tableFor(at, crew::Kind::answer));
            p.bytes += bytesOf(*answer);
            Links::Stream is = links_.stream(now_, e.to, e.from);
            bool carried = is == Links::Stream::flows;
            Span takes = links_.streamTakes(now_, e.to, e.from, static_cast<size_t>(bytesOf(*answer)));
            if (takes > kStreamGivenUp) carried = false;
            if (carried) push(now_ + setup_.hop + takes, What::answered, e.from, e.to, answer);
            if (!carried) push(now_ + kStreamGivenUp, What::unanswered, e.from, e.to, nullptr);
            break;
        }
        case What::answered:
            p.core->met(at, *e.message);
            break;
        case What::unanswered:
            p.core->notMet(at, addressOf(e.from));
            break;
    }
    pull(e.to);
}

void CrewModel::pull(int m) {
    Process& p = processes_[index(m)];
    while (p.core) {
        auto action = p.core->next(local(m, now_));
        if (!action) break;
        if (auto* send = std::get_if<crew::Members::Send>(&*action)) transmit(m, memberAt(send->to), std::move(send->message));
        if (auto* meeting = std::get_if<crew::Members::Meet>(&*action)) meet(m, memberAt(meeting->at), std::move(meeting->table));
        if (auto* keep = std::get_if<crew::Members::Keep>(&*action); keep && !p.diskFails) p.kept = keep->incarnation;
        if (auto* say = std::get_if<crew::Members::Say>(&*action)) words_.push_back(nameOf(m) + ": " + say->words);
        if (std::holds_alternative<crew::Members::Told>(*action)) ++p.told;
    }
    if (!p.core) return;
    if (afterStep) afterStep(m);
    Instant due = p.core->due();
    if (!setup_.clockRates.empty()) {
        double rate = setup_.clockRates[index(m) % setup_.clockRates.size()];
        due = Instant() + (due - Instant()) * (1 / rate) + Span::micros(1);
    }
    due = std::max(due, now_);
    if (due >= p.wakeAt) return;
    p.wakeAt = due;
    push(due, What::wake, m, m, nullptr);
}

long CrewModel::bytesOf(const crew::Message& m) const {
    if (setup_.onWire) return static_cast<long>(crew::encode(m).size());
    size_t bytes = crew::roomOf(m);  // at most, as numbers are taken for long ones
    for (const crew::Record& r : m.records) bytes += crew::roomOf(r);
    for (const crew::Item& i : m.items) bytes += crew::roomOf(i);
    return static_cast<long>(bytes);
}

void CrewModel::transmit(int from, int to, crew::Message message) {
    if (to < 0) return;
    std::string wire;
    if (setup_.onWire) wire = crew::encode(message);
    long bytes = setup_.onWire ? static_cast<long>(wire.size()) : bytesOf(message);
    processes_[index(from)].bytes += bytes;
    auto sent = std::make_shared<crew::Message>(std::move(message));
    for (const Links::Copy& copy : links_.datagram(now_, from, to, static_cast<size_t>(bytes))) {
        std::shared_ptr<const crew::Message> comes = sent;
        if (copy.spoilt || setup_.onWire) {
            std::string bad = wire.empty() ? crew::encode(*sent) : wire;
            if (copy.spoilt) bad[copy.chance % bad.size()] = static_cast<char>(bad[copy.chance % bad.size()] ^ (1 << (copy.chance >> 24) % 8));
            auto read = std::make_shared<crew::Message>();
            if (crew::decode(bad, sent->crew, *read) != crew::Unreadable::none) continue;
            comes = read;
        }
        push(now_ + setup_.hop + copy.after, What::datagram, to, from, comes);
    }
}

void CrewModel::meet(int from, int to, crew::Message table) {
    if (to < 0) return;
    long bytes = bytesOf(table);
    processes_[index(from)].bytes += bytes;
    Links::Stream is = links_.stream(now_, from, to);
    bool opens = links_.opens(now_, from, to);
    Span takes = links_.streamTakes(now_, from, to, static_cast<size_t>(bytes));
    bool carried = opens && is == Links::Stream::flows && takes <= kStreamGivenUp;
    if (carried) push(now_ + setup_.hop * 3 + takes, What::asked, to, from, std::make_shared<crew::Message>(std::move(table)));
    if (!carried) push(now_ + (is == Links::Stream::reset ? setup_.hop * 2 : kStreamGivenUp), What::unanswered, from, to, nullptr);
}

}  // namespace petrelpond::fleet
