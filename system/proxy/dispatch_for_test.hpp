// For tests: a Dispatch with a manual clock, and what outcomes of attempts mean.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "system/proxy/dispatch.hpp"

namespace petrelpond::proxy {

inline const Instant kStart = Instant::atMicros(1'000'000'000);

inline constexpr AttemptOutcome kOutcomes[] = {AttemptOutcome::answered,         AttemptOutcome::serverError,
                                               AttemptOutcome::notExecuted,      AttemptOutcome::misdirected,
                                               AttemptOutcome::connectFailed,    AttemptOutcome::notSent,
                                               AttemptOutcome::connectionBroken, AttemptOutcome::timedOut};

// What an outcome means for the request, restated here so that mayHaveExecuted() is not used to check itself.
inline bool expectedMayHaveExecuted(AttemptOutcome e) {
    return e == AttemptOutcome::answered || e == AttemptOutcome::serverError ||
           e == AttemptOutcome::connectionBroken || e == AttemptOutcome::timedOut;
}
inline bool reachedEndpoint(AttemptOutcome e) {
    return e != AttemptOutcome::connectFailed && e != AttemptOutcome::notSent;
}

inline scaler::Grant grant(const std::string& instance, uint32_t slots, uint32_t upInMs = 0) {
    return {instance, "s", "10.0.0.1:80", "here", slots, upInMs};
}

// A Dispatch with a manual clock, and all its outputs.
struct DispatchHarness {
    Instant now = kStart;
    Dispatch dispatch;
    std::vector<std::pair<Instant, Output>> outputs;
    std::vector<Output> latestOutputs;  // of the last input
    uint64_t nextId = 1;

    explicit DispatchHarness(Dispatch::Options options = {1, "here"}, int boot = 1000)
        : dispatch(now, options) {
        dispatch.updateServices(now, {{"s", 8, Span::millis(boot)}});
        dispatch.updatePlannerStatus(now, 1, true, 1);
        collectOutputs();
    }
    void collectOutputs() {
        latestOutputs.clear();
        while (auto o = dispatch.next()) latestOutputs.push_back(*o), outputs.emplace_back(now, *o);
    }
    void applyGrants(std::vector<scaler::Grant> g, bool whole = false, uint64_t term = 1) {
        dispatch.applyGrants(now, {term, whole, std::move(g)});
        collectOutputs();
    }
    RequestId submit(int ms = 5000, int priority = 2, bool repeatable = false, int attempts = 3) {
        IncomingRequest a{
            nextId++,        "s", repeatable, priority, attempts, now + Span::millis(ms), Span::millis(400),
            Span::millis(ms)};
        dispatch.onRequest(now, a);
        collectOutputs();
        return a.id;
    }
    void endAttempt(RequestId id, AttemptOutcome how) {
        dispatch.onAttemptEnded(now, id, how);
        collectOutputs();
    }
    // Does what the proxy does: ticks at each wake-up until `until`, or until the condition holds.
    template <class Done>
    bool runUntil(Instant until, Done done) {
        while (!done()) {
            Instant at = std::max(dispatch.wakeAt(), now);
            if (at > until) return now = until, done();
            now = at;
            dispatch.tick(now);
            collectOutputs();
        }
        return true;
    }
    void advance(int ms) {
        runUntil(now + Span::millis(ms), [] { return false; });
    }
    std::vector<SendRequest> sends() const {
        std::vector<SendRequest> out;
        for (auto& [at, o] : outputs)
            if (auto* s = std::get_if<SendRequest>(&o)) out.push_back(*s);
        return out;
    }
    bool wasSent(RequestId id) const {
        auto s = sends();
        return std::any_of(s.begin(), s.end(), [&](const SendRequest& x) { return x.id == id; });
    }
    template <class T>
    std::optional<std::pair<Instant, T>> findOutput(RequestId id) const {
        for (auto& [at, o] : outputs)
            if (auto* t = std::get_if<T>(&o); t && t->id == id) return std::pair(at, *t);
        return std::nullopt;
    }
    std::string instanceOf(RequestId id) const {
        std::string name;
        for (auto& s : sends())
            if (s.id == id && dispatch.findInstance(s.instance)) name = dispatch.findInstance(s.instance)->id;
        return name;
    }
    std::vector<scaler::Report> reports() const {
        std::vector<scaler::Report> out;
        for (auto& [at, o] : outputs)
            if (auto* t = std::get_if<SendReport>(&o)) out.push_back(t->report);
        return out;
    }
    // The planner's latest report entry for an instance.
    std::optional<scaler::HeldSlots> lastHeld(const std::string& id) const {
        std::optional<scaler::HeldSlots> last;
        for (auto& r : reports()) {
            if (r.isFull) last.reset();
            for (auto& h : r.held)
                if (h.instance == id) last = h;
        }
        return last;
    }
    template <class T>
    int countOutputs() const {
        auto is = [](auto& o) { return std::holds_alternative<T>(o.second); };
        return static_cast<int>(std::count_if(outputs.begin(), outputs.end(), is));
    }
    int timesReported(const std::string& id, std::vector<std::string> scaler::Report::*list) const {
        int n = 0;
        for (auto& r : reports()) n += static_cast<int>(std::count((r.*list).begin(), (r.*list).end(), id));
        return n;
    }
};

}  // namespace petrelpond::proxy
