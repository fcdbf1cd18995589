#include "src/routing/platform_actors.hpp"

#include <algorithm>
#include <thread>

#include "src/routing/exchange.hpp"

namespace petrelpond {

namespace {

constexpr Span kGrace = Span::millis(1500);
constexpr Span kConnect = Span::millis(500);
// A notice is late soon, and telling it twice does no harm.
constexpr Span kNotice = Span::millis(100);
constexpr Span kFirstPause = Span::millis(50), kLongestPause = Span::seconds(1);
constexpr size_t kMostNotices = 256;  // each is at most 200 bytes or so, and a body has 64 KiB

}  // namespace

void Agent::moveTo(std::string address) {
    std::lock_guard lock(mutex_);
    address_ = std::move(address), ++moves_;
    if (socket_.open()) shutDown(socket_.descriptor());
}

int Agent::moves() {
    std::lock_guard lock(mutex_);
    return moves_;
}

std::string Agent::address() {
    std::lock_guard lock(mutex_);
    return address_;
}

void Agent::drop() {
    std::lock_guard lock(mutex_);
    socket_.close();
}

bool Agent::connect() {
    std::optional<Address> to;
    {
        std::lock_guard lock(mutex_);
        if (socket_.open() && madeAt_ == moves_ && !socket_.peerGone()) return true;
        socket_.close();
        to = Address::parse(address_), madeAt_ = moves_;
        if (!to || makeSocket(socket_) != Connect::up) return false;
    }
    if (connectSocket(*to, kConnect, socket_) == Connect::up) return true;
    drop();
    return false;
}

void ListActor::run() {
    Instant next = plan_.first(steadyNow(), holdsList_);
    while (true) {
        while (agent_.moves() == moves_ && steadyNow() < next) moved_.drain(next);
        Heard heard = ask();
        Instant now = steadyNow();
        next = now;  // where a new address cut it off, that is asked at once
        if (heard == Heard::list) next = plan_.answered(now);
        if (heard == Heard::list) continue;
        agent_.drop();
        if (agent_.moves() != moves_) continue;
        report_.add(Count::listCallsFailed);
        if (heard == Heard::tooMany) report_.add(Count::listCallsTurnedAway);
        report_.say(Level::debug, heard == Heard::tooMany ? "not listed: turned away" : "not listed");
        next = heard == Heard::tooMany ? plan_.turnedAway(now) : plan_.failed(now);
    }
}

ListActor::Heard ListActor::ask() {
    if (int moves = agent_.moves(); moves != moves_) moves_ = moves, revision_.reset();
    auto buffer = buffers_.lease();
    if (!buffer || !agent_.connect() || agent_.moves() != moves_) return Heard::nothing;
    const Socket& socket = agent_.socket();
    Span wait = plan_.wait();
    Instant until = steadyNow() + wait + plan_.patience();
    socket.waitAtMost(wait + plan_.patience());
    if (!socket.sendAll(writeWatch(agent_.address(), wait > Span() ? revision_ : std::nullopt, wait)))
        return Heard::nothing;
    Reply reply = readReply(socket, buffer, true, until);
    if (reply.state != Reply::State::whole) return Heard::nothing;
    if (reply.head.status() == 503 || reply.head.status() == 429) return Heard::tooMany;
    if (reply.head.status() != 200) return Heard::nothing;
    auto list = readMembers(reply.body);
    if (!list) {
        report_.add(Count::listsOdd);
        report_.say(Level::warning, "a list from " + agent_.address() + " can't be read; the last one stays");
        return Heard::nothing;
    }
    if (!reply.keep) agent_.drop();
    report_.add(Count::listsRead);
    if (report_.says(Level::debug)) {
        report_.say(Level::debug, "listed: revision " + std::to_string(list->revision) + " members " +
                                      std::to_string(list->members.size()) + " waited " +
                                      std::to_string(wait.inMicros() / 1000));
    }
    bool news = list->whole ? revision_ != list->revision : !list->members.empty();
    int64_t revision = list->revision;
    // A list that got lost would leave a gap, so that the same is asked for again.
    if (news && !module_->post(ListMail{std::move(*list), false})) return Heard::nothing;
    revision_ = revision;
    return Heard::list;
}

void NoticeActor::run() {
    std::deque<Notice> pending;
    Span pause = kFirstPause;
    size_t most = kMostNotices;
    while (true) {
        for (Notice& n : mailbox_.drain(pending.empty() ? Instant::never() : steadyNow())) {
            pending.push_back(std::move(n));
        }
        if (pending.empty()) continue;
        size_t n = std::min(pending.size(), most);
        std::vector<Notice> batch(pending.begin(), pending.begin() + static_cast<long>(n));
        int moves = agent_.moves();
        int status = tell(batch, std::clamp(pause * 2, kNotice, kGrace));
        // One that can't be read must not hold up the rest: alone it is let go.
        if (status == 400 && n > 1) {
            most = 1;
            continue;
        }
        if (status != 204 && status != 400) {
            agent_.drop();
            Instant again = steadyNow() + pause;
            while (steadyNow() < again && agent_.moves() == moves) {
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            }
            pause = agent_.moves() == moves ? std::min(pause * 2, kLongestPause) : kFirstPause;
            continue;
        }
        report_.add(status == 204 ? Count::noticesTold : Count::noticesOdd, static_cast<long>(n));
        ToldMail told;
        for (const Notice& notice : batch) told.ids.push_back(notice.id);
        module_->postHeld(std::move(told));
        pending.erase(pending.begin(), pending.begin() + static_cast<long>(n));
        pause = kFirstPause;
        if (status == 204 && pending.empty()) most = kMostNotices;
    }
}

int NoticeActor::tell(const std::vector<Notice>& notices, Span within) {
    auto buffer = buffers_.lease();
    if (!buffer || !agent_.connect()) return 0;
    const Socket& socket = agent_.socket();
    Instant until = steadyNow() + within;
    socket.waitAtMost(within);
    if (!socket.sendAll(writeNotices(agent_.address(), notices))) return 0;
    Reply reply = readReply(socket, buffer, true, until);
    if (reply.state != Reply::State::whole) return 0;
    int status = reply.head.status();
    if (!reply.keep) agent_.drop();
    return status;
}

}  // namespace petrelpond
