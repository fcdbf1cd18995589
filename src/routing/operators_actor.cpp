#include "src/routing/operators_actor.hpp"

#include <poll.h>

#include <algorithm>

namespace petrelpond {

namespace {

constexpr Span kWhole = Span::seconds(2);      // for a line, from the accept
constexpr Span kReadingOff = Span::seconds(1);  // once it is answered, for the caller to close
constexpr int kLookMs = 100;  // so often orders that another process was given are looked for

}  // namespace

OperatorsActor::OperatorsActor(Socket listener, Ways ways)
    : listener_(std::move(listener)), ways_(std::move(ways)) {
    callers_.reserve(kCallers);
    neverWait(listener_);
}

void OperatorsActor::run() {
    std::vector<pollfd> waits;
    waits.reserve(kCallers + 1);
    while (true) {
        waits.assign(1, {listener_.descriptor(), POLLIN, 0});
        for (const Caller& c : callers_) waits.push_back({c.socket.descriptor(), POLLIN, 0});
        ::poll(waits.data(), waits.size(), kLookMs);
        Instant now = steadyNow();
        for (size_t i = 1; i < waits.size(); ++i) {
            if (waits[i].revents != 0) serve(callers_[i - 1], now);
        }
        for (Caller& c : callers_) {
            if (!c.answered && now - c.came > kWhole) answer(c, false, "no whole line came within 2 s");
            if (c.answered && now - c.came > kWhole + kReadingOff) c.socket.close();
        }
        std::erase_if(callers_, [](const Caller& c) { return !c.socket.open(); });
        if (waits[0].revents != 0) accept(now);
        if (ways_.ledger->look()) ways_.hold(ways_.ledger->orders());
    }
}

// At the bound whoever has been answered, else whoever is silent longest, goes: true callers send at once.
void OperatorsActor::accept(Instant now) {
    for (int i = 0; i < kCallers; ++i) {
        bool lasting = false;
        Socket socket = acceptFrom(listener_, lasting);
        if (!socket.open()) return;
        neverWait(socket);
        if (callers_.size() == kCallers) {
            auto goes = std::find_if(callers_.begin(), callers_.end(), [](const Caller& c) { return c.answered; });
            if (goes == callers_.end()) goes = callers_.begin(), answer(*goes, false, "too many callers");
            callers_.erase(goes);
        }
        callers_.push_back({std::move(socket), now, false, 0, {}});
        ways_.report->add(Count::operatorsAccepted);
        serve(callers_.back(), now);
    }
}

void OperatorsActor::serve(Caller& c, Instant now) {
    if (c.answered) {
        if (c.socket.discard(64 * 1024) == 0 || c.socket.peerGone()) c.socket.close();
        return;
    }
    long got = c.socket.receive(c.line + c.have, sizeof c.line - c.have);
    if (got == 0 && c.have > 0) return answer(c, false, "the line has no end");
    if (got == 0 || (got < 0 && c.socket.peerGone())) return c.socket.close();
    if (got < 0) return;
    c.have += static_cast<size_t>(got);
    std::string_view so(c.line, c.have);
    if (size_t end = so.find('\n'); end != std::string_view::npos) {
        if (end + 1 < so.size()) return answer(c, false, "more than one line");
        act(c, so.substr(0, end));
    } else if (c.have == sizeof c.line) {
        answer(c, false, "the line is too long");
    }
    if (c.answered) c.came = now - kWhole;  // what else comes is read off for a while
}

void OperatorsActor::act(Caller& c, std::string_view line) {
    operators::Call call;
    std::string problem;
    if (!operators::readCall(line, call, problem)) {
        ways_.report->add(Count::operatorsRefused);
        return answer(c, false, problem);
    }
    operators::Facts facts;
    facts.whyNot = ways_.whyNot(), facts.serves = facts.whyNot.empty();
    facts.listed = ways_.listed->has(call.endpoint);
    if (ways_.crew) ways_.crew(facts);
    operators::Answer got = ways_.ledger->act(
        [&](const operators::Orders& now) { return operators::answerTo(call, now, facts); });
    if (got.change) ways_.hold(*got.change);
    if (!got.yes) ways_.report->add(Count::operatorsRefused);
    if (call.verb != operators::Call::Verb::status && call.verb != operators::Call::Verb::members) {
        ways_.report->say(Level::info, "operator: " + std::string(line) + ": " + got.words);
    }
    answer(c, got.yes, got.words);
}

void OperatorsActor::answer(Caller& c, bool yes, std::string_view words) {
    c.socket.sendAll(operators::lineOf(yes, words));
    c.socket.endSending();
    c.answered = true;
}

}  // namespace petrelpond
