#include "fleet/model.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <list>
#include <queue>
#include <set>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <utility>

#include "fleet/parts.hpp"
#include "fleet/world.hpp"
#include "petrelpond/pull.hpp"

namespace petrelpond::fleet {

namespace {

struct Endless : std::runtime_error {
    Endless(Instant when, const std::string& words) : std::runtime_error(words), at(when) {}
    Instant at;
};

constexpr Span kClientWait = Span::millis(400), kConnectWithin = Span::millis(1500);

class ModelRun {
  public:
    ModelRun(const Scenario& scenario, uint64_t seed)
        : scenario_(scenario), parts_(partsOf(scenario)), world_(scenario, seed), judge_(scenario),
          programs_(scenario, plan(scenario, seed)), chance_(static_cast<uint32_t>(seed * 11 + 5)),
          seed_(seed) {}
    RunResult play();

  private:
    struct Call {
        Judge::CallNo no = 0;
        std::vector<RequestNo> requests;
        std::vector<TextIndex> texts;
        uint32_t endpoint = 0;
        EndpointIndex index;
        int sender = 0, life = 0, generation = 0;
        bool begun = false, atPeerOver = false, heard = false, fresh = false;
        Instant until;
    };
    struct Row {
        RequestNo request = 0;
        std::shared_ptr<Call> call;
        int submits = 0;
        bool over = false, told = false;
    };
    struct Open {  // as the store keeps it
        size_t text = 0;
        int submits = 0;
        bool out = false;
        std::optional<Instant> mayHaveRunSince;
        ZoneIndex ranIn;
        Instant begunAt;
    };
    struct Node {
        std::unique_ptr<Sender> module;
        std::unordered_map<uint32_t, Row> rows;
        std::unordered_map<RequestNo, TextIndex> known;
        std::map<RequestNo, Open> store;
        std::unordered_map<uint32_t, std::vector<Instant>>
            idle;                          // connections by endpoint: when each is closed
        std::vector<uint32_t> endpointOf;  // by the module's index
        std::vector<int> generationOf;
        std::unordered_map<uint64_t, EndpointIndex> indexOf;
        std::set<Instant> timers;
        std::deque<std::function<void()>> waiting;  // while it is stopped
        bool up = false, stopped = false, leaving = false;
        int deaf = 0;  // troubles of its directory in force
        int life = 0, starts = 0;
        uint32_t nextText = 0;
        size_t heard = 0;   // of the directory's log
        Instant busyUntil;  // with texts that came before
    };
    struct Event {
        Instant at;
        uint64_t order;
        std::function<void()> what;
        bool operator>(const Event& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
    };
    struct Entry {
        uint32_t endpoint;
        int generation;
        ListState state;
    };

    void at(Instant when, std::function<void()> what) {
        events_.push({std::max(when, now_), order_++, std::move(what)});
    }
    // Something that reaches this life of a sender; not while it is stopped.
    void reach(Instant when, int s, std::function<void()> what);

    void startNode(int s);
    void killNode(int s);
    void hear(int s, bool whole);
    EndpointIndex indexFor(Node& n, uint32_t endpoint, int generation);
    void pull(int s);
    void dispatch(int s, std::vector<std::pair<EndpointIndex, Submit>> submits);
    void startCall(int s, std::shared_ptr<Call> call);
    void arrive(const std::shared_ptr<Call>& call, bool reused);
    void overAtPeer(const std::shared_ptr<Call>& call, int status, bool neverRan, Span wait);
    void endCall(const std::shared_ptr<Call>& call, SubmitStatus end, Span wait = Span());
    void finalAnswer(int s, TextIndex text, bool nacked, Span pause);

    void handIn(size_t text);
    void again(size_t text, std::optional<Instant> when) {
        if (when) at(*when, [this, text] { handIn(text); });
    }
    void happenings();
    void everySecond();
    SecondOf& second() {
        auto ix = static_cast<size_t>(std::max<int64_t>(now_.inMicros(), 0) / 1000000);
        return series_[std::min(ix, series_.size() - 1)];
    }

    const Scenario& scenario_;
    SenderParts parts_;
    World world_;
    Judge judge_;
    Programs programs_;
    std::mt19937 chance_;
    uint64_t seed_;
    Instant now_;
    uint64_t order_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::vector<Node> nodes_;
    std::vector<Entry> log_;
    std::vector<size_t> textOf_;
    std::vector<std::list<std::shared_ptr<Call>>> callsAt_;  // by endpoint: begun, not over there
    std::vector<SecondOf> series_;
    long tippedPlaces_ = 0, deadCalls_ = 0, deadConnections_ = 0, out_ = 0;
    size_t nextText_ = 0;
};

void ModelRun::reach(Instant when, int s, std::function<void()> what) {
    int life = nodes_[static_cast<size_t>(s)].life;
    at(when, [this, s, life, what = std::move(what)]() mutable {
        Node& n = nodes_[static_cast<size_t>(s)];
        if (n.life != life) return;
        if (n.stopped) return n.waiting.push_back(std::move(what));
        what();
    });
}

EndpointIndex ModelRun::indexFor(Node& n, uint32_t endpoint, int generation) {
    uint64_t key = uint64_t{endpoint} << 32 | static_cast<uint32_t>(generation);
    auto [found, fresh] = n.indexOf.try_emplace(key, EndpointIndex(n.endpointOf.size()));
    if (fresh) n.endpointOf.push_back(endpoint), n.generationOf.push_back(generation);
    return found->second;
}

void ModelRun::hear(int s, bool whole) {
    Node& n = nodes_[static_cast<size_t>(s)];
    std::vector<ListEntry> entries;
    auto entry = [&](uint32_t e, int generation, ListState state) {
        EndpointIndex ix = indexFor(n, e, generation);
        entries.push_back({ix, DestinationIndex(world_.destinationOf(e)), ZoneIndex(e % 2),
                           KindIndex(world_.groupIndex(e)), state, listedRate(world_.groupOf(e))});
        if (n.starts > 0 && !whole) judge_.told(now_, s, e, generation, state);
    };
    if (whole) {
        for (uint32_t e = 0; e < world_.endpoints(); ++e) entry(e, 0, ListState::active);
        n.module->onEndpointList(now_, ListScope::cached, entries);
        return;
    }
    for (; n.heard < log_.size(); ++n.heard)
        entry(log_[n.heard].endpoint, log_[n.heard].generation, log_[n.heard].state);
    if (!entries.empty()) n.module->onEndpointList(now_, ListScope::changes, entries);
}

void ModelRun::startNode(int s) {
    Node& n = nodes_[static_cast<size_t>(s)];
    ++n.life, ++n.starts;
    auto seed =
        static_cast<uint32_t>(seed_ * 1000 + static_cast<uint64_t>(s) * 31 + static_cast<uint64_t>(n.starts));
    SenderGroup crew = parts_.crew;
    crew.senders = sendersTold(scenario_, s);
    n.module = makeSender(seed, parts_.products, parts_.kinds, crew, parts_.room, parts_.cold, parts_.list,
                          Decay::linear, parts_.links);
    n.up = true, n.heard = 0, n.nextText = 0;
    judge_.started(now_, s);
    hear(s, true);
    // What was open is taken up as it stands in the store; a call that was out may have run.
    for (auto& [request, open] : n.store) {
        if (open.out && !open.mayHaveRunSince) open.mayHaveRunSince = open.begunAt;
        open.out = false;
        TextIndex ix(n.nextText++);
        n.rows[ix.value] = {request, nullptr, open.submits, false, true};
        n.known[request] = ix;
        const Planned& p = programs_.text(open.text).plan;
        Arrival a;
        a.text = ix, a.destination = DestinationIndex(p.destination), a.product = ProductIndex(p.product);
        a.validUntil = programs_.validUntil(open.text), a.submits = open.submits;
        if (p.key > 0) a.key = p.key;
        a.mayHaveRunSince = open.mayHaveRunSince, a.ranInZone = open.ranIn;
        n.module->onArrival(now_, a);
    }
    reach(now_ + scenario_.model.hop * 2, s, [this, s] {
        if (nodes_[static_cast<size_t>(s)].deaf == 0) hear(s, false);
        pull(s);
    });
    pull(s);
}

void ModelRun::killNode(int s) {
    Node& n = nodes_[static_cast<size_t>(s)];
    judge_.killed(now_, s);
    for (auto& [ix, row] : n.rows) {
        if (row.call && !row.call->heard) {
            row.call->heard = true, --out_;
            overAtPeer(row.call, 0, false, Span());
        }
    }
    ++n.life;
    n.up = n.leaving = n.stopped = false;
    n.module = nullptr;
    n.rows.clear(), n.known.clear(), n.idle.clear(), n.endpointOf.clear(), n.generationOf.clear();
    n.indexOf.clear(), n.timers.clear(), n.waiting.clear();
}

void ModelRun::pull(int s) {
    Node& n = nodes_[static_cast<size_t>(s)];
    std::vector<std::pair<EndpointIndex, Submit>> submits;
    auto each = [&](const Decision& decision) {
        if (const auto* submit = std::get_if<Submit>(&decision)) {
            submits.emplace_back(submit->endpoint, *submit);
        } else if (const auto* nack = std::get_if<Nack>(&decision)) {
            finalAnswer(s, nack->text, true, nack->pause);
        } else if (const auto* dead = std::get_if<Undeliverable>(&decision)) {
            finalAnswer(s, dead->text, false, Span());
        } else if (const auto* cancel = std::get_if<CancelSubmit>(&decision)) {
            auto row = n.rows.find(cancel->text.value);
            if (row == n.rows.end() || !row->second.call || row->second.submits - 1 != cancel->submit)
                return;
            auto call = row->second.call;
            reach(now_, s, [this, call] {
                if (call->heard) return;
                overAtPeer(call, 0, false, Span());
                endCall(call, call->begun ? SubmitStatus::cancelled : SubmitStatus::unreachable);
            });
        } else if (const auto* wake = std::get_if<WakeAt>(&decision)) {
            if (!n.timers.insert(wake->at).second) return;
            reach(wake->at, s, [this, s, when = wake->at] {
                Node& of = nodes_[static_cast<size_t>(s)];
                of.timers.erase(when);
                of.module->onTimer(now_);
                pull(s);
            });
        } else if (const auto* close = std::get_if<CloseIdleConnections>(&decision)) {
            n.idle.erase(n.endpointOf[close->endpoint.value]);
        }
    };
    if (!pullDecisions(*n.module, now_, kMaxDecisionsPerInstant, each)) {
        throw Endless(now_, "sender " + std::to_string(s) +
                                " decides without end at one instant, nothing it holds ends");
    }
    dispatch(s, std::move(submits));
}

// Submits of one round to one endpoint travel together as far as its kind allows.
void ModelRun::dispatch(int s, std::vector<std::pair<EndpointIndex, Submit>> submits) {
    Node& n = nodes_[static_cast<size_t>(s)];
    std::vector<std::shared_ptr<Call>> calls;
    std::unordered_map<uint32_t, std::shared_ptr<Call>> filling;
    for (auto& [ix, submit] : submits) {
        Row& row = n.rows.at(submit.text.value);
        auto& call = filling[ix.value];
        uint32_t e = n.endpointOf[ix.value];
        if (!call || static_cast<int>(call->texts.size()) >= world_.groupOf(e).batch) {
            call = std::make_shared<Call>();
            call->endpoint = e, call->index = ix, call->sender = s, call->life = n.life;
            call->generation = n.generationOf[ix.value], call->until = Instant::longAgo();
            calls.push_back(call);
        }
        Instant valid = programs_.validUntil(textOf_[row.request]);
        Instant until = submit.timeout > Span() ? std::min(valid, now_ + submit.timeout) : valid;
        call->until = std::max(call->until, until);
        call->texts.push_back(submit.text), call->requests.push_back(row.request);
        row.call = call, ++row.submits;
        Open& open = n.store[row.request];
        open.text = textOf_[row.request], open.submits = row.submits, open.out = true, open.begunAt = now_;
    }
    for (auto& call : calls) startCall(s, call);
}

void ModelRun::startCall(int s, std::shared_ptr<Call> call) {
    Node& n = nodes_[static_cast<size_t>(s)];
    ++out_;
    uint32_t e = call->endpoint;
    auto& idle = n.idle[e];
    std::erase_if(idle, [&](Instant closes) { return closes <= now_; });
    bool reused = !idle.empty();
    if (reused) idle.pop_back();
    call->fresh = !reused;
    Span takes = scenario_.model.hop + scenario_.model.round;
    if (!reused) {
        if (world_.out(world_.destinationOf(e))) ++deadConnections_;
        if (world_.standing(e) == Standing::down ||
            !world_.takesConnection(e, static_cast<int>(callsAt_[e].size()))) {
            bool never = world_.standing(e) == Standing::vanished;
            if (!never) {
                reach(now_ + scenario_.model.handshake, s, [this, call, e] {
                    judge_.reached(now_, call->sender, e);
                    endCall(call, SubmitStatus::unreachable);
                });
                return;
            }
            reach(std::min(now_ + kConnectWithin, call->until), s,
                  [this, call] { endCall(call, SubmitStatus::unreachable); });
            return;
        }
        takes = takes + scenario_.model.handshake;
    }
    reach(call->until, s, [this, call] {
        if (call->heard) return;
        overAtPeer(call, 0, false, Span());
        endCall(call, call->begun ? SubmitStatus::timeout : SubmitStatus::unreachable);
    });
    at(now_ + takes, [this, call, reused] { arrive(call, reused); });
}

void ModelRun::arrive(const std::shared_ptr<Call>& call, bool reused) {
    if (call->heard) return;  // called off on the way
    uint32_t e = call->endpoint;
    int s = call->sender;
    call->begun = true;
    if (world_.standing(e) != Standing::up) {
        // Written to a connection whose other side has gone: it may have run, for all the sender knows.
        if (world_.standing(e) == Standing::down) {
            reach(now_ + scenario_.model.hop, s, [this, call] { endCall(call, SubmitStatus::reset); });
        }
        return;
    }
    if (world_.out(world_.destinationOf(e))) ++deadCalls_;
    Fate fate = world_.called(now_, e, static_cast<int>(call->texts.size()), reused);
    for (uint32_t d : world_.takeTipped()) ++tippedPlaces_, judge_.tipped(now_, d);
    SecondOf& sec = second();
    ++sec.calls, ++sec.groupCalls[world_.groupIndex(e)];
    if (fate.way == Fate::Way::answer && fate.status != 200) ++sec.refusedCalls;
    if (fate.way == Fate::Way::resetBefore) {
        judge_.reached(now_, s, e);
        return reach(now_ + scenario_.model.hop, s, [this, call] { endCall(call, SubmitStatus::reset); });
    }
    for (RequestNo r : call->requests) programs_.calledFirst(now_, textOf_[r]);
    call->no = judge_.called(now_, now_, s, e, call->generation, call->requests);
    callsAt_[e].push_back(call);
    if (fate.way == Fate::Way::silence && !fate.runs) return;
    int epoch = world_.generation(e);
    at(now_ + fate.takes, [this, call, fate, e, epoch, s] {
        if (world_.standing(e) == Standing::down || world_.generation(e) != epoch) return;
        if (fate.runs) judge_.ran(now_, call->no);
        if (call->atPeerOver || world_.standing(e) != Standing::up) return;
        auto hears = [&](int status, bool neverRan, SubmitStatus end, Span wait) {
            overAtPeer(call, status, neverRan, wait);
            reach(now_ + scenario_.model.hop, s, [this, call, end, wait] { endCall(call, end, wait); });
        };
        switch (fate.way) {
            case Fate::Way::answer: {
                bool never = fate.status == 429 || fate.status == 503;
                SubmitStatus end = fate.status == 200 ? SubmitStatus::delivered
                                   : never            ? SubmitStatus::overloaded
                                                      : SubmitStatus::error;
                return hears(fate.status, never, end, fate.wait);
            }
            case Fate::Way::resetDuring:
            case Fate::Way::resetAfter:
                return hears(0, false, SubmitStatus::reset, Span());
            case Fate::Way::half:
            case Fate::Way::spoilt:
                return hears(0, false, SubmitStatus::error, Span());
            case Fate::Way::drip:  // its answer has begun, which is waited for a second more
                return reach(now_ + Span::seconds(1), s, [this, call] {
                    overAtPeer(call, 0, false, Span());
                    endCall(call, SubmitStatus::error);
                });
            default:
                return;
        }
    });
}

void ModelRun::overAtPeer(const std::shared_ptr<Call>& call, int status, bool neverRan, Span wait) {
    if (!call->begun || call->atPeerOver) return;
    call->atPeerOver = true;
    auto& calls = callsAt_[call->endpoint];
    auto found = std::find(calls.begin(), calls.end(), call);
    if (found == calls.end()) return;
    calls.erase(found);
    judge_.ended(now_, call->no, status, neverRan, wait);
    for (RequestNo r : call->requests) {
        if (judge_.endOf(r) == Judge::End::delivered) programs_.delivered(judge_.endedAt(r), textOf_[r]);
    }
}

void ModelRun::endCall(const std::shared_ptr<Call>& call, SubmitStatus end, Span wait) {
    if (call->heard) return;
    call->heard = true, --out_;
    Node& n = nodes_[static_cast<size_t>(call->sender)];
    if (n.life != call->life) return;
    if (end == SubmitStatus::delivered || end == SubmitStatus::overloaded ||
        (end == SubmitStatus::error && call->atPeerOver)) {
        n.idle[call->endpoint].push_back(now_ + std::min(world_.idleFor(call->endpoint), parts_.links.idleTimeout));
    }
    for (TextIndex ix : call->texts) {
        auto found = n.rows.find(ix.value);
        if (found == n.rows.end()) continue;
        Row& row = found->second;
        row.call = nullptr;
        bool mayRun = end == SubmitStatus::error || end == SubmitStatus::reset ||
                      end == SubmitStatus::timeout || end == SubmitStatus::cancelled;
        auto open = n.store.find(row.request);
        if (open != n.store.end()) {
            open->second.out = false;
            if (mayRun && !open->second.mayHaveRunSince) {
                open->second.mayHaveRunSince = open->second.begunAt,
                open->second.ranIn = ZoneIndex(call->endpoint % 2);
            }
            if (end == SubmitStatus::delivered) n.store.erase(open);
        }
        SubmitResult e{ix, call->index, end, end == SubmitStatus::delivered, wait, std::nullopt};
        n.module->onSubmitResult(now_, e);
        if (end == SubmitStatus::delivered || row.over) n.known.erase(row.request), n.rows.erase(ix.value);
    }
    pull(call->sender);
}

void ModelRun::finalAnswer(int s, TextIndex text, bool nacked, Span pause) {
    Node& n = nodes_[static_cast<size_t>(s)];
    auto found = n.rows.find(text.value);
    if (found == n.rows.end()) return;
    Row row = found->second;
    n.store.erase(row.request);
    n.known.erase(row.request);
    n.rows.erase(found);
    size_t t = textOf_[row.request];
    at(now_ + scenario_.model.hop, [this, row, nacked, pause, t] {
        // What nobody was told is taken on is answered to its client itself; else with a notice.
        if (row.told) judge_.noticed(now_, row.request, nacked);
        if (!row.told) judge_.dropped(now_, row.request);
        if (nacked) return again(t, programs_.refused(now_, t, pause > Span() ? pause : Span::millis(500)));
        programs_.undeliverable(now_, t);
    });
}

void ModelRun::handIn(size_t text) {
    if (programs_.text(text).end != Programs::End::open) return;
    const Planned& p = programs_.text(text).plan;
    std::vector<int> up;
    for (int s = 0; s < scenario_.senders; ++s) {
        if (nodes_[static_cast<size_t>(s)].up && !nodes_[static_cast<size_t>(s)].leaving) up.push_back(s);
    }
    if (up.empty()) return again(text, programs_.unheard(now_ + Span::millis(80), text));
    int s = p.key > 0 ? static_cast<int>(p.key % static_cast<uint64_t>(scenario_.senders))
                      : up[chance_() % up.size()];
    if (std::find(up.begin(), up.end(), s) == up.end()) s = up[chance_() % up.size()];
    Instant until = programs_.validUntil(text);
    if (until <= now_) {
        programs_.unheard(until, text);
        return;
    }
    RequestNo r = judge_.handed(now_, s, p.product, p.destination, until, p.key);
    textOf_.push_back(text);
    programs_.handedIn(text);
    auto told = std::make_shared<bool>(false);
    int life = nodes_[static_cast<size_t>(s)].life;
    at(now_ + kClientWait, [this, told, r, text, s, life] {
        if (*told) return;
        *told = true;
        Node& n = nodes_[static_cast<size_t>(s)];
        judge_.dropped(now_, r);
        if (auto known = n.known.find(r); n.life == life && known != n.known.end()) {
            TextIndex ix = known->second;
            n.module->onWithdrawn(now_, ix);
            n.store.erase(r);
            n.rows.at(ix.value).over = true;
            if (!n.rows.at(ix.value).call) n.rows.erase(ix.value), n.known.erase(r);
        }
        again(text, programs_.unheard(now_, text));
    });
    // The sender's own work is done one text after the other, so that those of a clump wait for each other.
    Instant& busy = nodes_[static_cast<size_t>(s)].busyUntil;
    busy = std::max(busy, now_ + scenario_.model.hop) + scenario_.model.work;
    reach(busy + scenario_.model.store, s, [this, s, r, text, told] {
        Node& n = nodes_[static_cast<size_t>(s)];
        if (*told) return;
        const Planned& plan = programs_.text(text).plan;
        TextIndex ix(n.nextText++);
        n.rows[ix.value] = {r, nullptr, 0, false, false};
        n.known[r] = ix;
        n.store[r].text = text;
        Arrival a;
        a.text = ix, a.destination = DestinationIndex(plan.destination), a.product = ProductIndex(plan.product);
        a.validUntil = programs_.validUntil(text);
        if (plan.key > 0) a.key = plan.key;
        n.module->onArrival(now_, a);
        pull(s);
        // Not answered in that round: it is taken on.
        auto row = n.rows.find(ix.value);
        bool taken = n.known.count(r) > 0;
        if (row != n.rows.end()) row->second.told = true;
        at(now_ + scenario_.model.hop, [this, r, told, taken] {
            if (*told) return;
            *told = true;
            if (!taken) return;
            judge_.taken(now_, r);
            if (judge_.endOf(r) == Judge::End::delivered) programs_.delivered(judge_.endedAt(r), textOf_[r]);
        });
    });
}

void ModelRun::happenings() {
    std::vector<bool> were;
    for (int d = 0; d < scenario_.destinations(); ++d) were.push_back(world_.out(static_cast<uint32_t>(d)));
    world_.advance(now_);
    bool listed = false;
    while (auto h = world_.next()) {
        switch (h->what) {
            case Happening::What::listed:
                log_.push_back({h->endpoint, h->generation, h->state}), listed = true;
                break;
            case Happening::What::replaced:
                log_.push_back({h->endpoint, h->generation, ListState::active}), listed = true;
                if (h->trouble != Trouble::replace) break;
                [[fallthrough]];
            case Happening::What::standing: {
                bool silent = h->what == Happening::What::standing && h->standing == Standing::vanished;
                for (const auto& call : std::list(callsAt_[h->endpoint])) {
                    overAtPeer(call, 0, false, Span());
                    if (!silent)
                        reach(now_ + scenario_.model.hop, call->sender,
                              [this, call] { endCall(call, SubmitStatus::reset); });
                }
                for (Node& n : nodes_) n.idle.erase(h->endpoint);
                break;
            }
            case Happening::What::directory:
                if (h->trouble != Trouble::directoryMove) {
                    nodes_[static_cast<size_t>(h->sender)].deaf += h->begins ? 1 : -1;
                }
                listed = listed || !h->begins;
                break;
            case Happening::What::sender: {
                int s = h->sender;
                Node& n = nodes_[static_cast<size_t>(s)];
                if (h->trouble == Trouble::senderStop) {
                    judge_.stopped(now_, s, h->begins);
                    n.stopped = h->begins;
                    auto waiting = std::exchange(n.waiting, {});
                    for (auto& what : waiting) reach(now_, s, std::move(what));
                } else if (h->trouble == Trouble::senderKill) {
                    h->begins ? killNode(s) : startNode(s);
                } else if (h->begins) {
                    n.module->onShutdown(now_ + Span::millis(3400));
                    reach(now_ + Span::millis(300), s,
                          [this, s] { nodes_[static_cast<size_t>(s)].leaving = true; });
                    at(now_ + Span::millis(3700), [this, s] { killNode(s); });
                    at(now_ + Span::millis(4300) + h->lasts, [this, s] { startNode(s); });
                }
                break;
            }
        }
    }
    for (int d = 0; d < scenario_.destinations(); ++d) {
        bool out = world_.out(static_cast<uint32_t>(d));
        if (out != were[static_cast<size_t>(d)]) judge_.outage(now_, static_cast<uint32_t>(d), out);
    }
    if (listed) {
        for (int s = 0; s < scenario_.senders; ++s) {
            if (!nodes_[static_cast<size_t>(s)].up || nodes_[static_cast<size_t>(s)].deaf > 0) continue;
            reach(now_ + scenario_.model.hop, s, [this, s] { hear(s, false), pull(s); });
        }
    }
    if (auto when = world_.nextChange()) at(*when, [this] { happenings(); });
}

void ModelRun::everySecond() {
    SecondOf& sec = second();
    sec.open = programs_.open() - static_cast<long>(programs_.size() - nextText_);
    sec.out = out_;
    for (uint32_t d = 0; d < static_cast<uint32_t>(scenario_.destinations()); ++d) {
        sec.groupLimits[world_.groupIndex(world_.firstOf(d))] += world_.capability(now_, d);
    }
    at(now_ + Span::seconds(1), [this] { everySecond(); });
}

RunResult ModelRun::play() {
    auto began = std::chrono::steady_clock::now();
    series_.resize(static_cast<size_t>((scenario_.lasts + scenario_.settle).inSeconds()) + 2);
    for (SecondOf& s : series_)
        s.groupCalls.resize(scenario_.groups.size()), s.groupLimits.resize(scenario_.groups.size());
    callsAt_.resize(world_.endpoints());
    nodes_.resize(static_cast<size_t>(scenario_.senders));
    for (int s = 0; s < scenario_.senders; ++s) startNode(s);
    if (auto when = world_.nextChange()) at(*when, [this] { happenings(); });
    everySecond();
    std::function<void()> next = [&] {
        handIn(nextText_++);
        if (nextText_ < programs_.size()) at(programs_.text(nextText_).plan.at, next);
    };
    if (programs_.size() > 0) at(programs_.text(0).plan.at, next);
    Instant end = Instant() + scenario_.lasts + scenario_.settle;
    while (!events_.empty() && events_.top().at <= end) {
        if (programs_.open() == 0 && nextText_ == programs_.size() && !world_.nextChange()) break;
        Event event = std::move(const_cast<Event&>(events_.top()));
        events_.pop();
        now_ = event.at;
        event.what();
    }
    programs_.finish(now_);
    judge_.finish(now_);
    RunResult r;
    r.scenario = scenario_.name, r.kind = "model", r.program = "module", r.seed = seed_;
    r.seconds = scenario_.lasts.inSeconds();
    r.series = series_;
    account(scenario_, programs_, r);
    r.calls = judge_.calls(), r.wastedCalls = judge_.wasted(), r.tippedPlaces = tippedPlaces_;
    r.deadCalls = deadCalls_, r.deadConnections = deadConnections_;
    r.breaches = judge_.breaches(), r.breachCounts = judge_.counts();
    r.wallSeconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    return r;
}

}  // namespace

RunResult playInModel(const Scenario& scenario, uint64_t seed) {
    try {
        return ModelRun(scenario, seed).play();
    } catch (const Endless& stuck) {
        RunResult r;
        r.scenario = scenario.name, r.kind = "model", r.seed = seed, r.seconds = scenario.lasts.inSeconds();
        r.breaches.push_back({Rule::lostText, stuck.at, stuck.what()});
        ++r.breachCounts[static_cast<size_t>(Rule::lostText)];
        return r;
    }
}

}  // namespace petrelpond::fleet
