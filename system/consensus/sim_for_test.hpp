// A simulated network with disks for Cores: seeded, with all that may go wrong, and a judge.
#pragma once

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "system/consensus/core.hpp"

namespace petrelpond::consensus::sim {

struct Plan {
    uint32_t seed = 1;
    int cores = 3;
    int losses = 1;
    Defect defect = Defect::none;
    bool faults = true;
    double seconds = 25;  // of faults; then all heals and must work
    bool clients = true;
    int spares = 0;  // cores that start later, and may come onto the voters
    bool bareSeeds =
        false;  // two seeds may lose their disks before there is a set of voters: no work asked for then
    bool cornered = false;  // all but the holder start anew, while nobody hears it
    bool spans = false;     // the spans of the program in service, instead of the longer default ones
    bool clocks = false;    // differing clocks, without faults of World's own
};

class World {
  public:
    explicit World(Plan plan) : plan_(plan), random_(plan.seed) {
        for (int i = 0; i < plan_.cores + plan_.spares; ++i) {
            nodes_.push_back(Node{"10.0.0." + std::to_string(i + 1)});
            // Clocks differ in what they show, and by up to a sixteenth in how fast they go.
            if (!plan_.faults && !plan_.clocks) continue;
            nodes_.back().clockAhead = below(millis(100000));
            nodes_.back().clockFaster = static_cast<double>(below(62500)) / 1e6;
        }
    }

    // Nothing: all invariants held. Else what broke.
    std::string run() {
        const size_t first = static_cast<size_t>(plan_.cores);
        for (size_t i = 0; i < first; ++i) at(below(300) + 1, [this, i] { start(i, true); });
        for (size_t i = first; i < nodes_.size() && !losses_; ++i)
            at(millis(6000 + below(3000)), [this, i] { start(i, false); });
        if (losses_) losses_();
        if (plan_.spares > 0 && plan_.faults) at(millis(7000 + below(3000)), [this] { changeVoters(); });
        if (plan_.clients) at(1, [this] { client(); });
        if (plan_.faults) at(millis(500 + below(4000)), [this] { trouble(); });
        if (plan_.bareSeeds) {
            const auto one = static_cast<size_t>(below(3));
            at(millis(below(4000)), [this, one] { wipe(one, false); });
            at(millis(below(4000)), [this, one] { wipe((one + 1) % 3, false); });
        }
        const int64_t calm = millis(static_cast<int64_t>(plan_.seconds * 1000));
        at(calm, [this] { heal(); });
        const int64_t end = calm + millis(25000);
        at(end - kQuietMillis * 1000, [this] { quiet_ = true; });
        at(end - millis(6000) - kQuietMillis * 1000, [this] {
            calmWrites_ = doneWrites_;
            calmReads_ = doneReads_;
        });
        while (!events_.empty() && broken_.empty()) {
            const Event e = events_.top();
            events_.pop();
            if (e.at > end) break;
            now_ = e.at;
            e.run();
        }
        if (std::getenv("CONSENSUS_TRACE")) describe();
        if (!broken_.empty()) return broken_;
        if (seedsLost_.size() > 1) return {};  // nobody may begin anew, see Core::beginAnew
        if (plan_.clients && doneWrites_ - calmWrites_ < 3) return "no writes done after all has healed";
        if (plan_.clients && doneReads_ - calmReads_ < 3) return "no reads done after all has healed";
        int holders = 0, recovering = 0;
        for (const Node& n : nodes_) {
            holders += n.core && n.core->duty().held;
            recovering += n.core && n.core->recovering();
        }
        uint64_t epoch = 0;
        for (const Node& n : nodes_) epoch = std::max(epoch, n.core ? n.core->epoch() : 0);
        for (const Node& n : nodes_) {
            if (n.core && n.core->epoch() != epoch) return "cores on two voterSets after all has healed";
        }
        for (const Node& n : nodes_) {
            if (n.core && acked_.version > 0 && (!n.core->held() || n.core->held()->version < acked_.version))
                return n.id + " is behind after changes have paused";
        }
        if (holders != 1) return std::to_string(holders) + " holders after all has healed";
        if (recovering != 0) return "still recovering after all has healed";
        return {};
    }
    void describe() const {
        for (const Node& n : nodes_) {
            if (!n.core) continue;
            std::printf("%s epoch %lu recovering %d entering %d holds %d wiped %d\n", n.id.c_str(),
                        n.core->epoch(), n.core->recovering(), n.disk ? n.disk->entering : -1,
                        n.core->duty().held, n.wiped);
        }
    }
    int doneWrites() const { return doneWrites_; }
    int conflicts() const { return conflicts_; }
    int doneReads() const { return doneReads_; }
    int terms() const { return static_cast<int>(lastTerm_); }
    int wipes() const { return wipes_; }
    int changes() const { return static_cast<int>(lastEpoch_) - 1; }
    bool barred() const { return seedsLost_.size() > 1; }
    int holder() const {  // -1: none
        for (size_t i = 0; i < nodes_.size(); ++i) {
            if (nodes_[i].core && nodes_[i].core->duty().held) return static_cast<int>(i);
        }
        return -1;
    }

    std::vector<NodeId> firstVoters() const {
        return voterSets_.empty() ? std::vector<NodeId>{} : voterSets_.begin()->second;
    }

    // The parts, for tests with a script of their own.
    struct Node {
        NodeId id;
        std::unique_ptr<Core> core = nullptr;
        int life = 0;
        std::optional<Durable> disk = std::nullopt;
        int64_t clockAhead = 0;
        double clockFaster = 0;
        std::vector<Save> unsynced = {};
        int64_t frozenUntil = 0;
        int64_t wakeSet = -1;
        bool diskSick = false;
        bool wiped = false;  // lost its disk and has not yet rebuilt it
        bool gone = false;   // for good, or not here yet
        int64_t wipedAt = 0;
        std::map<uint64_t, std::pair<bool, Value>> asked = {};  // ticket: reading?, what must be reached
    };
    struct Event {
        int64_t at;
        uint64_t order;
        std::function<void()> run;
        bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
    };

    static int64_t millis(int64_t ms) { return ms * 1000; }
    int64_t below(int64_t n) {
        return static_cast<int64_t>(random_() % static_cast<uint32_t>(std::max<int64_t>(n, 1)));
    }
    bool chance(double p) { return below(1000000) < static_cast<int64_t>(p * 1e6); }
    void at(int64_t delay, std::function<void()> f) { events_.push({now_ + delay, ++order_, std::move(f)}); }
    // What the machine's clock shows, and what is left until it shows something.
    Instant clock(size_t i) const {
        const Node& n = nodes_[i];
        const auto run = static_cast<int64_t>(static_cast<double>(now_) * (1 + n.clockFaster));
        return Instant::atMicros(n.clockAhead + run);
    }
    int64_t until(size_t i, Instant shown) const {
        const double left = static_cast<double>((shown - clock(i)).inMicros());
        return static_cast<int64_t>(left / (1 + nodes_[i].clockFaster)) + 1;
    }
    void fail(const std::string& why) {
        if (!broken_.empty()) return;
        broken_ = "seed " + std::to_string(plan_.seed) + " at " + std::to_string(now_) + ": " + why;
    }

    // Those of the first start, or, where machines are replaced, three that are there as the settings are
    // written.
    std::vector<NodeId> seedsFor(size_t i) {
        if (const auto given = seedsOf_.find(i); given != seedsOf_.end()) return given->second;
        std::vector<NodeId> seeds;
        if (!losses_ || now_ < millis(3000)) {
            for (size_t s = 0; s < std::min<size_t>(3, static_cast<size_t>(plan_.cores)); ++s)
                seeds.push_back(nodes_[s].id);
            return seeds;
        }
        for (size_t s = 0; s < nodes_.size(); ++s)
            if (s != i && !nodes_[s].gone) seeds.push_back(nodes_[s].id);
        std::shuffle(seeds.begin(), seeds.end(), random_);
        seeds.resize(std::min<size_t>(seeds.size(), 3));
        return seeds;
    }
    void start(size_t i, bool first) {
        Node& n = nodes_[i];
        if (n.core || n.gone) return;
        Options o;
        o.self = n.id;
        o.seeds = seedsFor(i);
        o.bootstrap = first;
        o.machineLosses = plan_.losses;
        o.chance = random_();
        o.defect = plan_.defect;
        if (plan_.spans) o.beat = Span::millis(150), o.leaseTime = Span::millis(700);
        ++n.life;
        n.frozenUntil = 0;
        n.wakeSet = -1;
        n.core = std::make_unique<Core>(clock(i), o, n.disk);
        drain(i);
    }
    void kill(size_t i) {
        Node& n = nodes_[i];
        if (!n.core) return;
        n.core.reset();
        ++n.life;
        n.asked.clear();
        n.unsynced.clear();
    }
    // Runs f in the core's process, after a freeze if it is frozen.
    void in(size_t i, int life, std::function<void(Core&)> f) {
        Node& n = nodes_[i];
        if (n.life != life || !n.core) return;
        if (now_ < n.frozenUntil) {
            at(n.frozenUntil - now_ + below(2000), [this, i, life, f = std::move(f)] { in(i, life, f); });
            return;
        }
        f(*n.core);
        drain(i);
    }
    void drain(size_t i) {
        Node& n = nodes_[i];
        while (auto o = n.core->next()) {
            if (auto* s = std::get_if<Send>(&*o)) deliver(i, *s);
            if (auto* s = std::get_if<Save>(&*o)) store(i, std::move(*s));
            if (auto* a = std::get_if<Answer>(&*o)) judge(i, *a);
            if (auto* d = std::get_if<Duty>(&*o)) judgeDuty(i, *d);
        }
        judgeHolders();
        judgeVoters(i);
        if (n.wiped && !n.core->recovering() && n.disk && !n.disk->recovering) n.wiped = false;
        const Instant wanted = n.core->wakeAt();
        const bool near = wanted - clock(i) < Span::seconds(3600);
        const int64_t wake = now_ + (near ? std::max<int64_t>(1, until(i, wanted)) : millis(3600000));
        if (n.wakeSet > now_ && n.wakeSet <= wake) return;
        n.wakeSet = wake;
        at(wake - now_, [this, i, life = n.life, wake] {
            if (nodes_[i].life != life || nodes_[i].wakeSet != wake) return;
            in(i, life, [this, i](Core& c) {
                nodes_[i].wakeSet = -1;
                c.tick(clock(i));
            });
        });
    }
    void deliver(size_t from, const Send& s) {
        ++sends_;
        size_t to = 0;
        while (to < nodes_.size() && nodes_[to].id != s.to) ++to;
        if (to == nodes_.size() || cut_.count({from, to})) return;
        if (drops_ && drops_(from, to, s.message)) return;
        if (chance(loss_)) return;
        const int copies = chance(loss_ / 2) ? 2 : 1;
        const auto message = std::make_shared<const Message>(s.message);
        for (int c = 0; c < copies; ++c) {
            int64_t delay = 200 + below(2000);
            if (chance(loss_)) delay += below(millis(chance(0.2) ? 4000 : 600));
            at(delay, [this, from, to, message] {
                if (cut_.count({from, to})) return;
                in(to, nodes_[to].life,
                   [this, from, to, message](Core& c) { c.heard(clock(to), nodes_[from].id, *message); });
            });
        }
    }
    void store(size_t i, Save save) {
        Node& n = nodes_[i];
        n.unsynced.push_back(std::move(save));
        const uint64_t token = n.unsynced.back().token;
        int64_t delay = 300 + below(3000);
        if (chance(loss_)) delay += below(millis(300));
        at(delay, [this, i, token, life = n.life] {
            Node& m = nodes_[i];
            if (m.life != life || !m.core) return;
            if (m.diskSick) {
                in(i, life, [this, i, token](Core& c) { c.saveFailed(clock(i), token); });
                return;
            }
            for (Save& s : m.unsynced) {
                if (s.token != token) continue;
                const bool older = m.disk && !m.unsynced.empty() && s.token < syncedToken_[i];
                if (!older) {
                    m.disk = s.state;
                    syncedToken_[i] = s.token;
                }
            }
            std::erase_if(m.unsynced, [&](const Save& s) { return s.token <= token; });
            in(i, life, [this, i, token](Core& c) { c.saved(clock(i), token); });
        });
        if (n.life != lifeOfToken_[i]) {
            lifeOfToken_[i] = n.life;
            syncedToken_[i] = 0;
        }
    }

    // ---- clients: writers of rising versions and readers, at random cores
    void client() {
        if (quiet_) return;
        const size_t i = anyNode();
        Node& n = nodes_[i];
        if (n.core && now_ >= n.frozenUntil) {
            if (chance(0.5)) {
                if (chance(0.85)) version_ += 1 + below(3);
                const int64_t version = std::max<int64_t>(1, version_ - (chance(0.15) ? below(4) : 0));
                const Value first = textOf(version);
                writeAt(i, first);
                // Another operator at another core, at the same instant or soon: the same number with another
                // text, or the same order once more.
                if (chance(0.2)) {
                    const Value second = chance(0.7) ? textOf(version) : first;
                    at(chance(0.5) ? 1 : below(millis(300)), [this, second] { writeAt(anyNode(), second); });
                }
            } else {
                const uint64_t ticket = ++ticket_;
                n.asked[ticket] = {true, acked_};
                n.core->read(clock(i), ticket);
            }
            drain(i);
        }
        at(millis(20) + below(millis(250)), [this] { client(); });
    }
    size_t anyNode() {
        size_t i = 0;
        do i = static_cast<size_t>(below(static_cast<int64_t>(nodes_.size())));
        while (nodes_[i].gone);
        return i;
    }
    Value textOf(int64_t version) {
        Value v;
        v.version = version;
        v.digest = random_();
        v.body = std::to_string(v.version) + ":" + std::to_string(v.digest);
        return v;
    }
    void writeAt(size_t i, const Value& value) {
        Node& n = nodes_[i];
        if (!n.core || now_ < n.frozenUntil) return;
        const uint64_t ticket = ++ticket_;
        n.asked[ticket] = {false, value};
        n.core->write(clock(i), ticket, std::make_shared<const Value>(value));
        drain(i);
    }
    void judge(size_t i, const Answer& a) {
        const auto it = nodes_[i].asked.find(a.ticket);
        if (changing_.erase(a.ticket) > 0) return;
        if (it == nodes_[i].asked.end()) return fail("an answer nobody asked for");
        const auto [reading, wanted] = it->second;
        nodes_[i].asked.erase(it);
        if (a.how != Answer::done && a.how != Answer::conflict) return;
        const Value none;
        const Value& got = a.value ? *a.value : none;
        const bool same = got.version == wanted.version && got.digest == wanted.digest;
        if (got.version < wanted.version) {
            fail(std::string(reading ? "a read" : "a write") + " got " + std::to_string(got.version) +
                 " where " + std::to_string(wanted.version) + " was known before");
        }
        // The text of a version is one for ever, whoever asks and whoever wrote.
        if (got.version > 0) {
            const uint64_t told = texts_.emplace(got.version, got.digest).first->second;
            if (told != got.digest) fail("two texts under version " + std::to_string(got.version));
        }
        if (!reading && got.version == wanted.version && same != (a.how == Answer::done)) {
            fail("a write of version " + std::to_string(got.version) + " was told of another text's fate");
        }
        if (a.how == Answer::conflict) {
            ++conflicts_;
            return;
        }
        if (got.version > 0 && got.body != std::to_string(got.version) + ":" + std::to_string(got.digest)) {
            fail("a body that was not sent under its number");
        }
        if (got.version > acked_.version) acked_ = got;
        // The worst instant: whatever was acknowledged too early is gone now.
        if (plan_.faults && !healed_ && chance(0.01)) at(0, [this] { powerLoss(); });
        if (acknowledged_ && !healed_) acknowledged_();
        ++(reading ? doneReads_ : doneWrites_);
    }
    void judgeDuty(size_t i, const Duty& d) {
        if (!d.held) return;
        if (d.term <= lastTerm_) fail("term " + std::to_string(d.term) + " won again by " + nodes_[i].id);
        lastTerm_ = std::max(lastTerm_, d.term);
    }
    void judgeHolders() {
        int valid = 0;
        for (size_t i = 0; i < nodes_.size(); ++i) {
            const auto& core = nodes_[i].core;
            valid += core && core->duty().held && clock(i) < core->duty().validUntil;
        }
        if (valid > 1) fail("two hold the duty at once");
    }
    void judgeVoters(size_t i) {
        const auto& voters = nodes_[i].core->voters();
        if (voters.empty()) return;
        const uint64_t epoch = nodes_[i].core->epoch();
        const auto& one = voterSets_.emplace(epoch, voters).first->second;
        if (voters != one) fail("two voterSets in one epoch");
        if (epoch > lastEpoch_ && std::getenv("CONSENSUS_TRACE")) {
            std::printf("%8.3f epoch %lu:", static_cast<double>(now_) / 1e6, epoch);
            for (const NodeId& n : voters) std::printf(" %s", n.c_str());
            std::printf("\n");
        }
        if (epoch > lastEpoch_ && votersChange_) votersChange_(voterSets_[lastEpoch_], voters);
        lastEpoch_ = std::max(lastEpoch_, epoch);
    }
    // One core leaves the voters, more often one that is away, and another comes; now and then two or none.
    void changeVoters() {
        if (healed_) return;
        const size_t i = static_cast<size_t>(below(static_cast<int64_t>(nodes_.size())));
        Node& n = nodes_[i];
        if (n.core && now_ >= n.frozenUntil && !n.core->voters().empty()) {
            std::vector<NodeId> in, out, away;
            for (const Node& each : nodes_) {
                const auto& voters = n.core->voters();
                const bool on = contains(voters, each.id);
                (on ? in : out).push_back(each.id);
                if (on && !each.core) away.push_back(each.id);
            }
            const auto any = [&](const std::vector<NodeId>& of) {
                return of[static_cast<size_t>(below(static_cast<int64_t>(of.size())))];
            };
            std::vector<NodeId> gone = {!away.empty() && chance(0.7) ? any(away) : any(in)}, come;
            for (int k = chance(0.4) ? 2 : 1; k > 0 && !out.empty(); --k) come.push_back(any(out));
            if (chance(0.4)) gone.push_back(any(in));
            if (chance(0.05)) gone.clear();
            changing_.insert(++ticket_);
            n.core->change(clock(i), ticket_, gone, come);
            drain(i);
        }
        at(millis(200 + below(2500)), [this] { changeVoters(); });
    }

    static bool contains(const std::vector<NodeId>& all, const NodeId& n) {
        return std::find(all.begin(), all.end(), n) != all.end();
    }

    // ---- troubles
    void trouble() {
        if (healed_) return;
        const size_t i = static_cast<size_t>(below(static_cast<int64_t>(nodes_.size())));
        if (plan_.cornered && chance(0.3)) corner();
        const int64_t kind = below(100);
        if (kind < 20) {
            // Of one, or of any: a process that ends is often there again at once.
            const bool more = chance(0.3);
            const int64_t away = chance(0.4) ? 200 : 3000;
            for (size_t k = 0; k < nodes_.size(); ++k) {
                if (k != i && !(more && chance(0.5))) continue;
                kill(k);
                at(millis(below(away)), [this, k] { start(k, false); });
            }
        } else if (kind < 35) {
            powerLoss();
        } else if (kind < 60) {
            wipe(i, chance(0.3));
        } else if (kind < 75) {
            nodes_[i].frozenUntil = now_ + millis(below(4000));
        } else if (kind < 85) {
            cut_.clear();
            const uint32_t side = random_();
            for (size_t a = 0; a < nodes_.size(); ++a) {
                for (size_t b = 0; b < nodes_.size(); ++b) {
                    if ((side >> a & 1) != (side >> b & 1) && !chance(0.1)) cut_.insert({a, b});
                }
            }
            at(millis(500 + below(4000)), [this] { cut_.clear(); });
        } else if (kind < 92) {
            nodes_[i].diskSick = true;
            at(millis(below(2500)), [this, i] { nodes_[i].diskSick = false; });
        } else {
            loss_ = chance(0.3) ? 0 : static_cast<double>(below(300)) / 1000;
        }
        at(millis(chance(0.3) ? below(60) : below(2500)), [this] { trouble(); });
    }
    void corner() {
        if (holder() < 0) return;
        const auto h = static_cast<size_t>(holder());
        for (size_t i = 0; i < nodes_.size(); ++i) {
            if (i == h) continue;
            cut_.insert({i, h});
            cut_.insert({h, i});
            kill(i);
            at(millis(below(300)), [this, i] { start(i, false); });
        }
        at(millis(300 + below(1500)), [this] { cut_.clear(); });
    }
    void powerLoss() {
        if (std::getenv("CONSENSUS_TRACE"))
            std::printf("%8.3f power lost\n", static_cast<double>(now_) / 1e6);
        for (size_t i = 0; i < nodes_.size(); ++i) {
            kill(i);
            at(millis(below(2000)), [this, i] { start(i, false); });
        }
    }
    // No more disks are away at a time than may be lost.
    void wipe(size_t i, bool andAnother) {
        int away = 0;
        for (const Node& n : nodes_) away += n.wiped;
        if (away >= plan_.losses || nodes_[i].wiped) return;
        // A member that has not taken the newest voters over yet is away like one that is down: it would be
        // one more.
        for (const Node& n : nodes_) {
            const bool on =
                plan_.spares > 0 && !voterSets_.empty() && contains(voterSets_.rbegin()->second, n.id);
            if (on && (!n.core || n.core->recovering() || n.core->epoch() != lastEpoch_)) ++away;
        }
        if (away >= plan_.losses) return;
        // A set of voters that was agreed on late, with too few on it, bears fewer.
        if (!voterSets_.empty() &&
            voterSets_.rbegin()->second.size() < 2 * static_cast<size_t>(plan_.losses) + 1)
            return;
        // Two of three electors lost before there is a set of voters: that is not survived, see
        // Core::beginAnew.
        if (voterSets_.empty() && plan_.losses > 1 && !plan_.bareSeeds) return;
        if (voterSets_.empty() && i < 3) seedsLost_.insert(i);
        if (chance(0.3)) powerLoss();
        kill(i);
        nodes_[i].disk.reset();
        nodes_[i].wiped = true;
        ++wipes_;
        at(millis(below(1500)), [this, i] { start(i, false); });
        // As many at one blow as may be lost.
        if (andAnother) wipe(static_cast<size_t>(below(static_cast<int64_t>(nodes_.size()))), true);
    }
    void heal() {
        healed_ = true;
        loss_ = 0;
        cut_.clear();
        for (size_t i = 0; i < nodes_.size(); ++i) {
            nodes_[i].diskSick = false;
            nodes_[i].frozenUntil = 0;
            at(millis(below(100)), [this, i] { start(i, false); });
        }
    }

    static constexpr int64_t kQuietMillis = 2000;  // without changes, at the end: all must be level by then
    bool quiet_ = false;
    Plan plan_;
    std::mt19937 random_;
    std::vector<Node> nodes_;
    std::priority_queue<Event> events_;
    uint64_t order_ = 0;
    int64_t now_ = 1000000;
    std::map<size_t, uint64_t> syncedToken_;
    std::map<size_t, int> lifeOfToken_;
    double loss_ = 0.02;
    std::set<std::pair<size_t, size_t>> cut_;
    bool healed_ = false;
    std::string broken_;
    uint64_t ticket_ = 0;
    int64_t version_ = 0;
    std::map<int64_t, uint64_t> texts_;  // by version: the digest that was told
    int conflicts_ = 0;
    Value acked_;
    uint64_t lastTerm_ = 0;
    std::function<void()> losses_;  // begins a schedule of losses from outside; see losses_for_test.hpp
    std::function<void(const std::vector<NodeId>& before, const std::vector<NodeId>& after)> votersChange_;
    std::map<size_t, std::vector<NodeId>> seedsOf_;              // as a test wants them
    std::function<bool(size_t, size_t, const Message&)> drops_;  // messages that a test loses on purpose
    std::function<void()> acknowledged_;                         // a write or a read has just been done
    std::map<uint64_t, std::vector<NodeId>> voterSets_;
    uint64_t lastEpoch_ = 1;
    std::set<uint64_t> changing_;
    std::set<size_t> seedsLost_;  // before there was a set of voters
    long sends_ = 0;
    int doneWrites_ = 0, doneReads_ = 0, calmWrites_ = 0, calmReads_ = 0, wipes_ = 0;
};

}  // namespace petrelpond::consensus::sim
