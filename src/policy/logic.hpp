// What the module knows, and its parts, each in a file of its own; src/logic.cpp joins them.
#pragma once

#include <unordered_map>
#include <utility>

#include "src/index/calls_out.hpp"
#include "src/index/parking.hpp"
#include "src/index/roster.hpp"
#include "src/index/served.hpp"
#include "src/index/texts.hpp"
#include "src/index/worth.hpp"
#include "src/policy/outage.hpp"
#include "src/policy/times.hpp"

namespace petrelpond::policy {

using index::Call, index::Due, index::Falls, index::Text;

constexpr int kFew = 8;  // senders whose slices are wide enough to be judged one by one (ours)

struct Kept {
    ReturnGuard guard;
    Instant toldUntil;
    double trust = 1, reportedRate = 0;
};
struct PlaceSeed {
    double listedRate = 0;
    std::shared_ptr<const Kept> kept;
};

// What a limit, a pace and an outage belong to: a destination, or one of its separate routes.
struct Place {
    void woke() {
        if (is.kept) guard = is.kept->guard, toldUntil = is.kept->toldUntil, bucket.trust = is.kept->trust;
        if (is.kept) reportedRate = is.kept->reportedRate;
    }
    PlaceSeed is;
    Bucket bucket;
    InFlight out;
    ReturnGuard guard;
    AnswerTimes times;
    Instant toldUntil = Instant::longAgo();
    double reportedRate = 0;
    Served served;

    double fleetRate() const { return is.listedRate > 0 ? is.listedRate : reportedRate; }
    // This sender's part; unknown, what it is served. The design's one call a second floods from hundreds.
    double slice(Instant now, int senders) {
        if (fleetRate() > 0) return fleetRate() / senders;
        double lately = served.rate(now, Span::seconds(2)), longer = served.rate(now, Span::seconds(20));
        if (senders <= kFew) return std::max({1.0, lately, longer});
        return std::max({lately / 2, longer, 0.01});
    }
};

struct Endpoint {
    EndpointSeed is;
    int misses = 0;      // since it last delivered
    double reach = 4;    // calls that it is thought to take at once (ours)
    double trickle = 0;  // set aside: calls a second it gets; 0: in full use
    Instant trickleAt = Instant::longAgo(), deliveredAt = Instant::longAgo();
    AnswerTimes times;
    InFlight out;
    Instant noneHadAt = Instant::longAgo();  // no connection could be had, and nothing delivered since
    Instant doorAt = Instant::longAgo();     // turned away at its door: not before
    Instant usedAt = Instant::longAgo(), idleAt = Instant::longAgo();  // idleAt: usedAt as the last call left
};

// What is learned by kind of endpoint, as one endpoint is met too seldom in a big crew.
struct Sort {
    EndpointKind kind;
    IdleBound idle;
    double pace;  // calls a second of a bound sender whose slice is thinner (ours)
};

class Logic final : public Sender, Roster<Place, Endpoint> {
  public:
    Logic(uint32_t seed, std::vector<Product> products, std::vector<EndpointKind> kinds, const SenderGroup& crew,
          const SenderLimits& room, const ColdStartRule& cold, const EndpointListRule& list, Decay decay, const ConnectionRule& links)
        : chance_{std::mt19937(seed)}, products_(std::move(products)), crew_(crew), room_(room), cold_(cold),
          listRule_(list), decay_(decay), links_(links) {
        crew_.senders = std::max(1, crew_.senders);
        kinds.emplace_back();  // for those of no known kind
        for (const EndpointKind& k : kinds) sorts_.push_back({k, IdleBound(links.idleTimeout, crew_.senders, many()), 0.2});
        if (list.changesOnRequest) askListAt_ = Instant::longAgo();
        if (room.maxCalls > 0) mostCredit_ = credit_ = room.maxCalls;
    }
    void onArrival(Instant now, const Arrival& a) override;
    void onSubmitResult(Instant now, const SubmitResult& e) override;
    void onWithdrawn(Instant, TextIndex text) override;
    void onEndpointList(Instant, ListScope scope, const std::vector<ListEntry>& entries) override;
    void onEndpointListFailed(Instant now) override;
    void setEndpointDisabled(Instant now, EndpointIndex ix, bool out) override;
    void onDestinationRemoved(Instant, DestinationIndex d) override { drop(d); }
    void setCallsAllowed(Instant, bool may) override { mayStart_ = may; }
    std::vector<double> exportEndpointState(Instant now, EndpointIndex ix) override;
    bool importEndpointState(Instant now, EndpointIndex ix, const std::vector<double>& l) override;
    void onShutdown(Instant by) override { leavesAt_ = by; }
    std::optional<Decision> nextDecision(Instant now) override;
    std::string describeEndpoint(Instant now, EndpointIndex ix) const override;

  private:
    // The ordinary path.
    void startCall(Instant now);
    void consider(Instant now, uint32_t ix, bool full);
    void submitCall(Instant now, EndpointIndex at, TextIndex firstText);
    void tick(Instant now);
    // known.cpp: what is known of who is listed.
    void restIfStill(Instant now, uint32_t ix);
    // ends.cpp: what the end of a call tells.
    void noteCall(Instant now, const Text& text, const SubmitResult& e);
    // endpoints.cpp: which endpoint gets a call.
    double callTime(Instant now, const Destination& d);
    EndpointIndex draw(Instant now, const Destination& d);
    double roomAt(Instant now, const Endpoint& e);
    bool paced(Instant now, const Endpoint& e);
    void judge(Instant now, const Destination& d);
    void setAside(Instant now, Endpoint& e);
    // again.cpp: what may go, what may have run, and what is answered in its place.
    void noteRun(Instant now, Text& t, SubmitStatus end);
    bool maySubmitAgain(Instant now, const Text& t) const;
    bool mayGo(const Text& t, Instant now, const Endpoint& e) const;
    void restKey(Instant now, const Text& t);
    Span timeout(Instant now, const Text& t, const Place& p, double load) const;
    Decision answer(Instant now, Text& t);
    // order.cpp: which text first, and which for want of room goes.
    void queue(Instant now, Text& t);
    void unqueue(Text& t);
    void forget(TextIndex ix);
    void boundBacklog(Instant now, Text& text);
    void offerText(Instant now, const Destination& d, EndpointIndex at, double takes);
    std::optional<Decision> makeRoom(Instant now);
    bool slotFor(const Destination& d, double takes);
    void freeSlot(Instant now);

    bool many() const { return crew_.senders > kFew; }
    Sort& sort(KindIndex kind) { return sorts_[std::min<size_t>(kind.value, sorts_.size() - 1)]; }
    Sort& sort(const Endpoint& e) { return sort(e.is.kind); }
    Span lastCall() const { return room_.roundInterval * 2 + Span::millis(1); }
    bool inOrder(const Text& t) const { return t.arrival.key && t.product && t.product->inOrder; }
    double worth(const Text& t, Instant at) const {
        return earns(*t.product, t.arrival.validUntil, at, decay_);
    }
    double overdueAfter(const Place& p, double load) const {
        return std::max(1.2 * p.times.slowest * load, 3 * usualTime_);
    }
    // A nack promises that nothing took effect that a repeat would double.
    static bool mayNack(const Text& t) { return !t.mayHaveRun || t.product->effect == Effect::idempotent; }
    double blockedUntil(Instant at) { return blocked_ = std::min(blocked_, at), 0; }
    // Something about it changed, so that a text there may go.
    void touch(uint32_t ix) {
        if (const Destination* d = destinations_.find(ix); d && !d->waiting.empty()) parking_.ready(ix);
    }
    // A row to wait in where it waits for something else than an instant.
    void park(uint32_t ix, Row row = Row::none) {
        parking_.park(ix, row);
        if (blocked_ < Instant::never()) dues_.insert({blocked_, Falls::look, ix});
    }

    static constexpr size_t kCompared = 64;  // destinations
    static constexpr int kTexts = 256;       // of one destination
    Chance chance_;
    std::vector<Product> products_;
    std::vector<Sort> sorts_;
    SenderGroup crew_;
    SenderLimits room_;
    ColdStartRule cold_;
    EndpointListRule listRule_;
    Decay decay_;
    ConnectionRule links_;
    KeyOrder order_;
    std::set<uint32_t> waiting_;  // destinations with texts to go
    Parking parking_;             // of those
    std::vector<uint32_t> looked_;
    std::vector<double> fellows_;
    EndpointIndex bestAt_;  // of those compared
    TextIndex bestText_;
    Instant blocked_;  // of the destination looked at: when to look again
    std::unordered_map<uint32_t, Text> texts_;
    std::set<TextIndex> outTexts_;
    std::map<int64_t, Call> calls_;
    std::set<Due> dues_;
    std::deque<Decision> out_;
    std::deque<TextIndex> toAnswer_;
    std::vector<EndpointIndex> toClose_;
    Instant tickAt_ = Instant::longAgo(), armed_ = Instant::never(), askListAt_ = Instant::never();
    Instant leavesAt_ = Instant::never();
    bool mayStart_ = true;
    double usualTime_ = 0.3, hope_ = 1, mostCredit_ = 256, credit_ = 256, bestScore_ = 0;
    size_t sweepAt_ = 0;
    int callsOut_ = 0, listFailures_ = 0;
    int64_t nextCall_ = 0;
};

}  // namespace petrelpond::policy
