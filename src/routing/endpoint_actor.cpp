#include "src/routing/endpoint_actor.hpp"

#include <algorithm>
#include <mutex>

#include "src/routing/exchange.hpp"
#include "src/transport/socket.hpp"
#include "src/transport/thread.hpp"

namespace petrelpond {

namespace {

// A connection is not used again right before the endpoint closes it as idle: a call that crossed that may
// have run.
constexpr double kOfIdle = 0.95;

}  // namespace

// One connection and its thread. The actor hands it a call, and may give that up at any time.
class EndpointActor::Line {
  public:
    Line(const std::string& address, const Ways& ways) : address_(address), ways_(ways), jobs_(4) {}
    ~Line() { ++ways_.lines->left; }

    static bool start(const std::shared_ptr<Line>& line, const std::shared_ptr<EndpointActor>& actor) {
        return startThread([line, actor] { line->run(actor, line); });
    }
    void carry(Call call) {
        texts = call.texts, until = call.until, abandoned = false;
        std::lock_guard lock(mutex_);
        givenUp_ = Why::no, writing_ = false;
        jobs_.postHeld(std::move(call));
    }
    void stop() {
        Call none;
        jobs_.postHeld(std::move(none));
    }
    enum class Why { no, timeout, cancel };
    void giveUp(Why why) {
        std::lock_guard lock(mutex_);
        if (givenUp_ != Why::no) return;
        givenUp_ = why;
        if (fd_ >= 0) shutDown(fd_);
    }
    // Against connects that come up late: a drain or a told wait that came meanwhile binds the call too.
    void giveUpUnsent() {
        std::lock_guard lock(mutex_);
        if (writing_ || givenUp_ != Why::no) return;
        givenUp_ = Why::cancel;
        if (fd_ >= 0) shutDown(fd_);
    }
    bool stale() {
        std::lock_guard lock(mutex_);
        return !socket_.open() || socket_.peerGone() || socket_.somethingCame();
    }

    // The actor's own notes.
    std::vector<TextIx> texts;
    Instant until, idleSince;
    bool abandoned = false;

  private:
    void run(const std::shared_ptr<EndpointActor>& actor, const std::shared_ptr<Line>& self) {
        while (true) {
            for (Call& call : jobs_.drain(Instant::never())) {
                if (call.texts.empty()) return drop();
                CallEnd end;
                end.endpoint = actor->endpoint_;
                end.texts = call.texts;
                end.ending = carryOut(call, end.answer, end.fresh);
                Mail mail{Mail::What::done, {}, {}, self, std::move(end)};
                actor->mailbox_.postHeld(std::move(mail));
            }
        }
    }

    bool mayWrite() {
        std::lock_guard lock(mutex_);
        return writing_ = givenUp_ == Why::no;
    }
    Why givenUp() {
        std::lock_guard lock(mutex_);
        return givenUp_;
    }
    void drop() {
        std::lock_guard lock(mutex_);
        fd_ = -1;
        socket_.close();
    }
    // An end that came because the call was given up is told as that.
    Ending unsent(Ending otherwise) {
        Why why = givenUp();
        drop();
        return why == Why::timeout  ? Ending::timedOutUnsent
               : why == Why::cancel ? Ending::cancelledUnsent
                                    : otherwise;
    }
    Ending sent(Ending otherwise) {
        Why why = givenUp();
        drop();
        return why == Why::timeout ? Ending::timedOut : why == Why::cancel ? Ending::cancelled : otherwise;
    }

    bool connected() {
        std::lock_guard lock(mutex_);
        return socket_.open();
    }

    Ending connect(const Call& call) {
        auto to = Address::parse(address_);
        if (!to) return Ending::refused;
        Span within = std::min(ways_.connectWithin, call.until - steadyNow());
        Socket fresh;
        Connect got = makeSocket(fresh);
        if (got != Connect::up) return Ending::noMeans;
        {
            std::lock_guard lock(mutex_);
            socket_ = std::move(fresh), fd_ = socket_.descriptor();
            if (givenUp_ != Why::no) return Ending::neverUp;
        }
        got = connectSocket(*to, within, socket_);
        if (got == Connect::noMeans) return Ending::noMeans;
        if (got == Connect::late) return Ending::neverUp;
        if (got == Connect::refused) return Ending::refused;
        ways_.report->add(Count::connectionsOpened);
        return Ending::answered;
    }

    Ending carryOut(const Call& call, Answer& answer, bool& fresh) {
        auto buffer = ways_.buffers->lease();
        if (!buffer) return Ending::noMeans;
        if (connected() && stale()) drop();
        if (!connected()) {
            fresh = true;
            Ending got = connect(call);
            if (got != Ending::answered) return unsent(got);
        }
        std::string bytes = writeCall(address_, call.parcels, call.until - steadyNow());
        // False only where the kernel did not take the last byte, which then cannot have left.
        Instant until = call.until + Span::seconds(1);  // the actor ends it sooner
        socket_.waitAtMost(until - steadyNow());
        if (!mayWrite() || !socket_.sendAll(bytes)) return unsent(Ending::brokeBeforeSent);
        Reply reply = readReply(socket_, buffer, call.parcels.size() > 1, until);
        Ending ending = reply.state == Reply::State::whole  ? Ending::answered
                        : reply.state == Reply::State::half ? Ending::halfAnswered
                        : reply.state == Reply::State::odd  ? Ending::oddAnswer
                                                            : Ending::brokeAfterSent;
        if (ending == Ending::answered || ending == Ending::halfAnswered) {
            auto read = readAnswer(reply.head, reply.body, call.parcels, ways_.reports);
            if (!read) return sent(Ending::oddAnswer);
            answer = std::move(*read);
            if (!reply.keep || givenUp() != Why::no) drop();
            return ending;
        }
        return sent(ending);
    }

    std::string address_;
    const Ways ways_;
    Mailbox<Call> jobs_;
    std::mutex mutex_;  // of what follows; the socket is read and written by this line's thread alone
    Socket socket_;
    int fd_ = -1;
    Why givenUp_ = Why::no;
    bool writing_ = false;
};

EndpointActor::EndpointActor(EndpointIx endpoint, const std::string& address, Ways ways)
    : endpoint_(endpoint), address_(address), ways_(std::move(ways)) {}

std::shared_ptr<EndpointActor> EndpointActor::start(EndpointIx endpoint, const std::string& address,
                                                    Ways ways) {
    std::shared_ptr<EndpointActor> actor(new EndpointActor(endpoint, address, std::move(ways)));
    return startThread([actor] { actor->run(actor); }) ? actor : nullptr;
}

bool EndpointActor::call(Call call) {
    return mailbox_.post({Mail::What::call, std::move(call), {}, nullptr, {}});
}
void EndpointActor::cancel(TextIx text) { mailbox_.postHeld({Mail::What::cancel, {}, text, nullptr, {}}); }
void EndpointActor::closeIdle() { mailbox_.postHeld({Mail::What::closeIdle, {}, {}, nullptr, {}}); }
void EndpointActor::holdBack() { mailbox_.postHeld({Mail::What::holdBack, {}, {}, nullptr, {}}); }
void EndpointActor::retire() { mailbox_.postHeld({Mail::What::retire, {}, {}, nullptr, {}}); }

void EndpointActor::run(std::shared_ptr<EndpointActor> self) {
    while (!(retiring_ && busy_.empty())) {
        for (Mail& mail : mailbox_.drain(nextDue())) {
            switch (mail.what) {
                case Mail::What::call:
                    begin(std::move(mail.call), self);
                    break;
                case Mail::What::cancel:
                    for (auto& line : busy_) {
                        auto& texts = line->texts;
                        if (std::find(texts.begin(), texts.end(), mail.text) != texts.end()) {
                            line->giveUp(Line::Why::cancel);
                        }
                    }
                    break;
                case Mail::What::closeIdle:
                    endIdle(true);
                    break;
                case Mail::What::holdBack:
                    for (auto& line : busy_) line->giveUpUnsent();
                    break;
                case Mail::What::retire:
                    retiring_ = true;
                    for (auto& line : busy_) line->giveUpUnsent();
                    endIdle(true);
                    break;
                case Mail::What::done:
                    finish(mail);
                    break;
            }
        }
        Instant now = steadyNow();
        for (auto& line : busy_) {
            if (now < line->until || line->abandoned) continue;
            line->abandoned = true;
            line->giveUp(Line::Why::timeout);
        }
        endIdle(false);
    }
}

void EndpointActor::begin(Call call, const std::shared_ptr<EndpointActor>& self) {
    ways_.report->add(Count::callsStarted);
    endIdle(false);
    std::shared_ptr<Line> line;
    if (!idle_.empty()) {
        line = idle_.front();
        idle_.pop_front();
    } else if (--ways_.lines->left >= 0) {
        line = std::make_shared<Line>(address_, ways_);
        if (!Line::start(line, self)) line = nullptr;
    } else {
        ++ways_.lines->left;
    }
    if (!line) return ways_.ended({endpoint_, std::move(call.texts), Ending::noMeans, {}, false});
    busy_.push_back(line);
    line->carry(std::move(call));
}

void EndpointActor::finish(Mail& mail) {
    mail.line->idleSince = steadyNow();
    busy_.remove(mail.line);
    if (mail.line->stale() || retiring_) {
        mail.line->stop();
    } else {
        idle_.push_front(mail.line);
    }
    ways_.ended(std::move(mail.end));
}

// A connection that the endpoint has closed, or is about to close as idle, is no use to the next call.
void EndpointActor::endIdle(bool all) {
    Instant now = steadyNow();
    idle_.remove_if([&](const std::shared_ptr<Line>& line) {
        bool old = ways_.idle > Span() && now - line->idleSince >= ways_.idle * kOfIdle;
        if (!all && !old && !line->stale()) return false;
        line->stop();
        return true;
    });
}

Instant EndpointActor::nextDue() const {
    Instant due = Instant::never();
    for (const auto& line : busy_) {
        if (!line->abandoned) due = std::min(due, line->until);
    }
    // Idle connections are looked at now and then, as one that the endpoint has closed holds a descriptor.
    if (!idle_.empty()) due = std::min(due, steadyNow() + Span::millis(250));
    return due;
}

}  // namespace petrelpond
