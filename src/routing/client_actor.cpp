#include "src/routing/client_actor.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <thread>
#include <tuple>

#include "src/transport/thread.hpp"

namespace petrelpond {

namespace {

constexpr Span kIdle = Span::seconds(3);     // between requests
constexpr Span kReading = Span::seconds(2);  // for a request, once it has begun
// For a connection's first request and its first byte, counted from the accept. Against clients that connect
// and say nothing, or never come to an end; good ones may connect up to two seconds before they ask. The
// kernel must not put the accept off until bytes come: clients that connect ahead then lost their requests.
constexpr Span kFirst = Span::millis(2500), kSilent = Span::millis(2300);
constexpr Span kSweep = Span::millis(50);     // those that wait are looked at so often
constexpr Span kCrowded = Span::millis(300);  // for a request, while others wait for its descriptor or buffer
// Whoever asks for what can't be is answered at once each time, and its next request is read a little later.
// Against clients that ask the same again and again at full speed, which takes the processor from the others.
constexpr Span kFirstRest = Span::millis(50), kLongestRest = Span::millis(400);
constexpr Span kNoThread = Span::millis(20);  // until a thread is asked for once more
constexpr Span kDeciding = Span::seconds(5);  // the module answers in its next round
// What nobody wants is read off so long, and no faster than so many bytes in so long.
constexpr Span kReadingOff = Span::seconds(4);
constexpr size_t kAtOnce = 256 * 1024;
constexpr int kBreathMs = 3;

}  // namespace

class Clients::Connection {
  public:
    Connection(Clients& clients, Socket socket)
        : clients_(clients), socket_(std::move(socket)), born_(steadyNow()), since_(born_) {}

    int descriptor() const { return socket_.descriptor(); }
    // Serves what has come; false where the connection has come to its end, true where it waits for more.
    bool run() {
        while (serve()) {
            if (have_ > 0 && resting())
                std::this_thread::sleep_for(std::chrono::microseconds(rest_.inMicros()));
            if (have_ == 0 && (resting() || !socket_.somethingCame())) return !ending();
        }
        return false;
    }
    void begin() { state(Doing::reading); }
    void wait() { state(Doing::idle); }
    // Whether it has waited too long for a first request, or for a further one; a request that has come
    // meanwhile is served.
    bool overdue(Instant now) {
        std::lock_guard lock(mutex_);
        return doing_ == Doing::idle && now - since_ > (asked_ ? kIdle : kSilent) && !socket_.somethingCame();
    }
    bool idle() {
        std::lock_guard lock(mutex_);
        return doing_ == Doing::idle && !socket_.somethingCame();
    }
    bool asked() {
        std::lock_guard lock(mutex_);
        return asked_;
    }
    std::optional<Instant> idleSince() {
        std::lock_guard lock(mutex_);
        return doing_ == Doing::idle ? std::optional(since_) : std::nullopt;
    }
    // Ends one that does not come to an end, and tells whether it is ending. What has come is still read, and
    // answered as the last: cut off with its answer, the client could not tell whether it had been taken on.
    bool endIfDawdling() {
        std::lock_guard lock(mutex_);
        bool dawdles = doing_ == Doing::reading || doing_ == Doing::readingOff;
        if (!ending_ && dawdles && steadyNow() - since_ > kCrowded) end();
        return ending_ && dawdles;
    }
    // Once its rest after an unusable request is over.
    bool rested(Instant now) {
        std::lock_guard lock(mutex_);
        return doing_ == Doing::idle && restUntil_ > Instant::longAgo() && now >= restUntil_ &&
               (restUntil_ = Instant::longAgo(), true);
    }
    void restFor(Span span) {
        std::lock_guard lock(mutex_);
        restUntil_ = steadyNow() + span;
    }
    bool resting() {
        std::lock_guard lock(mutex_);
        return restUntil_ > steadyNow();
    }

  private:
    enum class Doing { idle, reading, serving, readingOff };

    void state(Doing doing) {
        std::lock_guard lock(mutex_);
        doing_ = doing, since_ = steadyNow();
    }
    bool ending() {
        std::lock_guard lock(mutex_);
        return ending_;
    }
    void end() { ending_ = true, endReceiving(socket_.descriptor()); }

    // One request; false where the connection has come to its end.
    bool serve() {
        Instant first = born_ + kFirst;
        // Answered unread, a request could be cut off with its answer; others give their buffers back soon.
        for (int i = 0; i < 200 && !buffer_; ++i) {
            if (i > 0) std::this_thread::sleep_for(std::chrono::milliseconds(5));
            if (i % 10 == 1) clients_.makeRoom();
            buffer_ = clients_.buffers_.lease();
        }
        if (!buffer_) return refuse(503);
        state(Doing::reading);
        Instant due = steadyNow() + kReading;
        if (!asked_) due = std::min(due, first);
        std::optional<size_t> end;
        while (!(end = http::headEnd({buffer_.data(), have_}))) {
            if (have_ > http::kMostHead) return refuse(431);
            if (!more(due)) return late(due);
        }
        if (*end > http::kMostHead) return refuse(431);
        http::Head head;
        std::optional<size_t> length;
        http::Fault fault = http::parseRequest({buffer_.data(), *end}, head);
        if (fault == http::Fault::none) fault = http::bodyLength(head, length);
        if (fault != http::Fault::none) {
            return refuse(fault == http::Fault::headTooLong   ? 431
                          : fault == http::Fault::bodyTooLong ? 413
                                                              : 400);
        }
        // Without a length, what follows could be a body or another request.
        if (!length && head.first == "POST") return refuse(411);
        size_t whole = *end + length.value_or(0);
        if (have_ < whole && head.field("Expect")) socket_.sendAll("HTTP/1.1 100 Continue\r\n\r\n");
        while (have_ < whole) {
            if (!more(due)) return late(due);
        }
        // Bytes behind a body that begin no request: its length was wrong, and the body is not what was
        // meant.
        if (!http::mayBecomeRequest({buffer_.data() + whole, have_ - whole})) return refuse(400);
        state(Doing::serving);
        {
            std::lock_guard lock(mutex_);
            asked_ = true;
        }
        bool last = head.closes() || clients_.lasts() || ending();
        // One that was refused has given its buffer back, whatever lies behind it.
        if (!respond(head, {buffer_.data() + *end, length.value_or(0)}, last) || !buffer_) return false;
        std::memmove(buffer_.data(), buffer_.data() + whole, have_ - whole);
        have_ -= whole;
        if (have_ == 0) buffer_ = Buffers::Lease();
        return !last;
    }

    bool more(Instant due) {
        Instant now = steadyNow();
        if (now >= due) return false;
        socket_.waitAtMost(due - now);
        long got = socket_.receive(buffer_.data() + have_, Buffers::kSize - have_);
        if (got > 0) have_ += static_cast<size_t>(got);
        return got > 0;
    }
    // One whose client has gone ends without a word.
    bool late(Instant due) { return (steadyNow() >= due || ending()) && refuse(408); }

    bool respond(const http::Head& head, std::string_view body, bool& last) {
        std::string_view path = head.second.substr(0, head.second.find('?'));
        if (clients_.report_.says(Level::debug)) {
            clients_.report_.say(
                Level::debug, "asked: " + std::string(const_cast<const char*>(buffer_.data()), body.data()));
        }
        if (head.first == "GET") {
            if (path == "/up") {
                bool up = clients_.ready_ && !clients_.leaving_ && !clients_.drained_;
                return answer(up ? 200 : 503, {}, up ? "up\n" : "not up\n", last);
            }
            if (path == "/alive") return answer(200, {}, "alive\n", last);
            if (path == "/counters") return answer(200, {}, clients_.report_.counters(), last);
            return answer(404, {}, "", last);
        }
        if (head.first != "POST") return answer(405, {}, "", last);
        auto handed = readHanded(head);
        if (!handed) return refuse(400);
        return receive(std::move(*handed), body, last);
    }

    bool receive(Handed text, std::string_view body, bool& last) {
        auto box = std::make_shared<ReceptionBox>(2);
        std::string id = text.id;
        uint64_t ticket = ++clients_.tickets_;
        ArrivedMail mail{std::move(text), steadyNow(), std::make_shared<const std::string>(body), box,
                         ticket};
        if (!clients_.ready_ || !clients_.module_->post(std::move(mail))) {
            clients_.report_.add(Count::textsRefused);
            return turnAway(clients_.busy_, last);
        }
        auto replies = box->drain(steadyNow() + kDeciding);
        last = last || clients_.lasts();
        Reception r;  // nacked, where the module has not come to it
        if (!replies.empty()) r = replies.front();
        bool taken = r.what == Reception::What::taken;
        if (taken) rest_ = Span();
        bool ended = !ending() && socket_.peerGone();
        bool heard = taken && answer(202, {}, "", last);
        if (heard && !ended) return true;
        // One that has ended its sending may still read, and one that is gone resets what it is sent.
        if (heard) std::this_thread::sleep_for(std::chrono::milliseconds(20));
        if (heard && !socket_.broken()) return false;
        // A client that went without its answer may hand the text in again, elsewhere and under a new id.
        if (replies.empty() || taken) clients_.module_->postHeld(WithdrawnMail{std::move(id), ticket});
        if (taken) return false;
        if (r.what == Reception::What::unusable) return unusable(last);
        if (r.what == Reception::What::undeliverable) return answer(500, {}, "", last);
        return turnAway(r.pause, last);
    }

    bool unusable(bool last) {
        clients_.report_.add(Count::requestsBad);
        if (!answer(400, {}, "", last) || last) return false;
        rest_ = rest_ > Span() ? std::min(rest_ * 2, kLongestRest) : kFirstRest;
        restFor(rest_);
        return true;
    }

    bool turnAway(Span pause, bool last) {
        http::Fields fields;
        if (pause > Span()) fields.emplace_back("Retry-After", retryAfter(pause));
        return answer(503, fields, "", last);
    }

    bool answer(int status, const http::Fields& fields, std::string_view body, bool last) {
        return socket_.sendAll(http::writeResponse(status, fields, body, last));
    }

    // A bad request is answered, and what else comes is read off for a while, as closing on unread bytes
    // would take the answer away: a body of many megabytes holds no buffer, and little of the processor.
    bool refuse(int status) {
        clients_.report_.add(status == 408 ? Count::requestsLate : Count::requestsBad);
        answer(status, {}, "", true);
        socket_.endSending();
        buffer_ = Buffers::Lease();
        state(Doing::readingOff);
        Instant until = steadyNow() + kReadingOff;
        for (Instant now; (now = steadyNow()) < until;) {
            socket_.waitAtMost(until - now);
            long got = socket_.discard(kAtOnce);
            if (got <= 0) break;
            if (got >= 64 * 1024) std::this_thread::sleep_for(std::chrono::milliseconds(kBreathMs));
        }
        return false;
    }

    Clients& clients_;
    Socket socket_;
    Buffers::Lease buffer_;
    size_t have_ = 0;
    Span rest_;  // after the last unusable request
    const Instant born_;
    std::mutex mutex_;  // of what follows
    Doing doing_ = Doing::idle;
    bool asked_ = false, ending_ = false;  // asked: a whole request has come
    Instant since_, restUntil_ = Instant::longAgo();
};

int Clients::wanted() {
    std::lock_guard lock(mutex_);
    return static_cast<int>(std::count_if(connections_.begin(), connections_.end(), [](const auto& one) {
        return !one.second->asked() || !one.second->idle();
    }));
}

void Clients::accept() {
    accepting_ = true;
    acceptUntilStopped();
    accepting_ = false;
}

void Clients::acceptUntilStopped() {
    while (!stopped_) {
        // At the bound nobody is accepted, as one turned away might have its request cut off unread: others
        // make room, and new ones wait in the kernel's queue.
        if (open_ >= most_) {
            report_.add(Count::clientsHeldUp);
            makeRoom();
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            continue;
        }
        if (shared_ && !comes(listener_, wake_)) return;
        bool lasting = false;
        Socket socket = acceptFrom(listener_, lasting);
        if (lasting) return;
        if (shared_ && !socket.open() && errno == EAGAIN) continue;  // another process was quicker
        if (!socket.open()) {
            // Out of descriptors or memory for now.
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            continue;
        }
        report_.add(Count::clientsAccepted);
        ++open_;
        std::lock_guard lock(mutex_);
        uint64_t key = ++lastKey_;
        auto at = connections_.emplace(key, std::make_shared<Connection>(*this, std::move(socket))).first;
        if (!waiting_.add(at->second->descriptor(), key)) close(at);
    }
}

// One thread attends to all connections on which nothing is under way. Against clients that ask once and
// stay, and those that say nothing: with a thread for each, hundreds of them wake whenever the process is
// stopped and goes on, which takes the processor's time from the texts.
void Clients::attend() {
    Instant swept = steadyNow();
    while (true) {
        for (uint64_t key : waiting_.ready(kSweep)) serve(key);
        if (steadyNow() - swept < kSweep) continue;
        swept = steadyNow();
        sweep();
    }
}

void Clients::serve(uint64_t key) {
    std::shared_ptr<Connection> connection;
    {
        std::lock_guard lock(mutex_);
        auto at = connections_.find(key);
        if (at == connections_.end()) return;
        connection = at->second;
        connection->begin();
    }
    bool started = startThread([this, key, connection] {
        bool stays = false;
        try {
            stays = connection->run();
        } catch (const std::exception& wrong) {  // out of memory: this connection ends, the others go on
            report_.say(Level::error, wrong.what());
        }
        if (!stays) return forget(key);
        std::lock_guard lock(mutex_);
        connection->wait();
        if (!connection->resting()) waiting_.again(connection->descriptor(), key);
    });
    if (started) return;
    // A machine that has no thread to give now has one soon; closed, the client would lose what it asks.
    std::lock_guard lock(mutex_);
    report_.add(Count::clientsHeldUp);
    connection->wait(), connection->restFor(kNoThread);
}

Clients::Held::iterator Clients::close(Held::iterator at) {
    --open_;
    return connections_.erase(at);
}

void Clients::forget(uint64_t key) {
    std::lock_guard lock(mutex_);
    auto at = connections_.find(key);
    if (at != connections_.end()) close(at);
}

void Clients::sweep() {
    std::lock_guard lock(mutex_);
    Instant now = steadyNow();
    for (auto at = connections_.begin(); at != connections_.end();) {
        Connection& c = *at->second;
        if (c.rested(now)) waiting_.again(c.descriptor(), at->first);
        // Of a drained sender who has asked before may go; a first request that is still to come is waited for.
        if (!c.overdue(now) && !((drained_ || handing_) && c.asked() && c.idle())) {
            ++at;
            continue;
        }
        if (!c.asked()) report_.add(Count::clientsMute);
        at = close(at);
    }
}

void Clients::stopListening() {
    stopped_ = true;
    shared_ ? wake_.now() : shutDown(listener_.descriptor());
}

// Requests that do not come to an end go first, then connections that have waited longest for a further one,
// which costs a good client nothing, then those that have been silent longest: a client that connected ahead
// of its first request loses that.
void Clients::makeRoom() {
    std::lock_guard lock(mutex_);
    size_t ending = 0;
    std::vector<std::tuple<bool, Instant, uint64_t>> waiting;
    for (auto& [key, c] : connections_) {
        ending += c->endIfDawdling();
        if (auto since = c->idleSince()) waiting.emplace_back(!c->asked(), *since, key);
    }
    if (ending > 0) return;
    std::sort(waiting.begin(), waiting.end());
    waiting.resize(std::min<size_t>(waiting.size(), 1 + waiting.size() / 8));
    for (auto& [silent, since, key] : waiting) {
        auto at = connections_.find(key);
        if (!at->second->idle()) continue;
        if (silent) report_.add(Count::clientsMute);
        close(at);
    }
}

void Clients::closeIdle() {
    std::lock_guard lock(mutex_);
    for (auto at = connections_.begin(); at != connections_.end();) {
        at->second->endIfDawdling();
        at = at->second->idle() ? close(at) : std::next(at);
    }
}

}  // namespace petrelpond
