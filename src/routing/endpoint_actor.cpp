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

// One connection. The actor hands it a call, which has a thread until it ends, and may give that up at any time.
class EndpointLoop::Line {
  public:
    Line(const std::string& address, const EndpointActor::Ways& ways) : address_(address), ways_(ways) {}
    ~Line() { ++ways_.lines->left; }

    // False where no thread is to be had: nothing of it has left.
    static bool carry(const std::shared_ptr<Line>& line, const std::shared_ptr<EndpointActor>& actor, Call call) {
        line->texts = call.texts, line->until = call.until, line->abandoned = false;
        {
            std::lock_guard lock(line->mutex_);
            line->givenUp_ = Why::no, line->writing_ = false;
        }
        auto kept = std::make_shared<Call>(std::move(call));
        return startThread([line, actor, kept] {
            CallEnd end;
            end.endpoint = actor->endpoint_, end.texts = kept->texts;
            try {
                end.ending = line->carryOut(*kept, end.answer, end.fresh);
            } catch (const std::bad_alloc&) {  // it may have left
                line->stop(), end.answer = {}, end.ending = Ending::brokeAfterSent;
            }
            actor->ways_.loop->mailbox_.postHeld({Mail::What::done, actor, {}, {}, line, std::move(end)});
        });
    }
    void stop() { drop(); }  // while no call is on it
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
    std::vector<TextIndex> texts;
    Instant until, idleSince;
    bool abandoned = false;

  private:
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
    const EndpointActor::Ways ways_;
    std::mutex mutex_;  // of what follows; the socket is read and written by the call's thread alone
    Socket socket_;
    int fd_ = -1;
    Why givenUp_ = Why::no;
    bool writing_ = false;
};

void EndpointActor::post(Mail::What what, TextIndex text) {
    ways_.loop->mailbox_.postHeld({what, shared_from_this(), {}, text, nullptr, {}});
}
bool EndpointActor::call(Call call) {
    return ways_.loop->mailbox_.post({Mail::What::call, shared_from_this(), std::move(call), {}, nullptr, {}});
}
void EndpointActor::cancel(TextIndex text) { post(Mail::What::cancel, text); }
void EndpointActor::closeIdle() { post(Mail::What::closeIdle); }
void EndpointActor::holdBack() { post(Mail::What::holdBack); }
void EndpointActor::retire() { post(Mail::What::retire); }

void EndpointLoop::run() {
    std::set<std::shared_ptr<EndpointActor>> touched;
    while (true) {
        auto mails = mailbox_.drain(dues_.empty() ? Instant::never() : dues_.begin()->first);
        touched.clear();
        for (Mail& mail : mails) mail.to->take(mail), touched.insert(mail.to);
        Instant now = steadyNow();
        for (auto at = dues_.begin(); at != dues_.end() && at->first <= now; ++at) touched.insert(at->second);
        for (const auto& actor : touched) {
            dues_.erase({actor->due_, actor});
            actor->due_ = actor->settle(now);
            if (actor->due_ < Instant::never()) dues_.insert({actor->due_, actor});
        }
    }
}

void EndpointActor::take(Mail& mail) {
    switch (mail.what) {
        case Mail::What::call:
            return begin(std::move(mail.call));
        case Mail::What::cancel:
            for (auto& line : busy_) {
                auto& texts = line->texts;
                if (std::find(texts.begin(), texts.end(), mail.text) != texts.end()) {
                    line->giveUp(Line::Why::cancel);
                }
            }
            return;
        case Mail::What::closeIdle:
            return endIdle(true);
        case Mail::What::holdBack:
            for (auto& line : busy_) line->giveUpUnsent();
            return;
        case Mail::What::retire:
            retiring_ = true;
            for (auto& line : busy_) line->giveUpUnsent();
            return endIdle(true);
        case Mail::What::done:
            return finish(mail);
    }
}

void EndpointActor::begin(Call call) {
    ways_.report->add(Count::callsStarted);
    endIdle(false);
    std::shared_ptr<Line> line;
    if (!idle_.empty()) {
        line = idle_.front();
        idle_.pop_front();
    } else if (--ways_.lines->left >= 0) {
        line = std::make_shared<Line>(address_, ways_);
    } else {
        ++ways_.lines->left;
    }
    auto texts = call.texts;
    if (!line || !Line::carry(line, shared_from_this(), std::move(call))) {
        if (line) idle_.push_front(line), endIdle(false);
        return ways_.ended({endpoint_, std::move(texts), Ending::noMeans, {}, false});
    }
    busy_.push_back(line);
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

Instant EndpointActor::settle(Instant now) {
    Instant due = Instant::never();
    for (auto& line : busy_) {
        if (line->abandoned) continue;
        if (now >= line->until) {
            line->abandoned = true;
            line->giveUp(Line::Why::timeout);
        } else {
            due = std::min(due, line->until);
        }
    }
    endIdle(false);
    // Idle connections are looked at now and then, as one that the endpoint has closed holds a descriptor.
    return idle_.empty() ? due : std::min(due, now + Span::millis(250));
}

}  // namespace petrelpond
