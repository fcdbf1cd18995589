// Simulated fleet of gossip nodes with seeded losses, delays and partitions, for tests.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <set>

#include "system/gossip/gossip_node.hpp"

namespace petrelpond::gossip {

inline Instant at(double s) { return Instant() + Span::seconds(s); }

inline Peer peer(size_t i, uint64_t incarnation = 1) {
    return {"edge-" + std::to_string(i),
            "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1),
            "zone-" + std::to_string(i % 3),
            incarnation,
            0,
            true};
}

class Fleet {
  public:
    Fleet(size_t n, double loss, uint32_t seed, std::function<void(Options&)> adjustOptions = {})
        : loss_(loss), seed_(seed), adjustOptions_(std::move(adjustOptions)), rng_(seed), nodes_(n) {
        for (size_t i = 0; i < n; ++i) ips_[peer(i).ip] = i;
        for (size_t i = 0; i < n; ++i) start(i, 1, false);
        for (size_t i = 0; i < n; ++i) introducePeers(i);
    }

    // The core names up to four random peers, as when an agent connects to it.
    void start(size_t i, uint64_t incarnation, bool core = true) {
        Options o;
        o.self = peer(i, incarnation);
        o.randomSeed = static_cast<uint32_t>(seed_ * 100000 + i * 10 + incarnation);
        if (adjustOptions_) adjustOptions_(o);
        nodes_[i] = std::make_unique<GossipNode>(now, o);
        frozen.erase(i);
        if (core) introducePeers(i);
        processOutputs(i);
    }
    void introducePeers(size_t i) {
        std::vector<Peer> some;
        for (int k = 0; k < 4; ++k) {
            const size_t other = rng_() % nodes_.size();
            if (other != i && nodes_[other]) some.push_back(peer(other));
        }
        nodes_[i]->addPeers(now, some);
    }
    void kill(size_t i) { nodes_[i].reset(); }
    GossipNode& operator[](size_t i) { return *nodes_[i]; }
    void updateDigest(size_t i, const Digest& d) {
        nodes_[i]->updateDigest(now, d);
        processOutputs(i);
    }
    // Processes the outputs of a node and schedules its next wake-up. Call it after each direct input to a
    // node.
    void processOutputs(size_t i) {
        while (auto o = nodes_[i]->next()) {
            if (auto* s = std::get_if<Send>(&*o)) {
                std::string data = encode(s->message);
                EXPECT_LE(data.size(), kMaxMessageBytes);
                ++datagrams;
                bytes += data.size();
                const auto to = ips_.find(s->ip);
                if (to != ips_.end() && peer(i).zone != peer(to->second).zone) crossZoneBytes += data.size();
                if (to == ips_.end() || isCut(i, to->second) || randomShare() < loss_) continue;
                if (duplicateShare > 0 && randomShare() < duplicateShare)
                    push({now + Span::millis(1 + rng_() % 2000), 0, to->second, i, data});
                push({now + Span::millis(1 + rng_() % 80), 0, to->second, i, std::move(data)});
            } else if (auto* f = std::get_if<Fetch>(&*o)) {
                ++fetches;
                push({now + transferTime(ips_.at(f->ip)), 0, i, ips_.at(f->ip), "fetch"});
            } else {
                ++holderChanges;
            }
        }
        push({nodes_[i]->wakeAt(), 0, i, i, ""});
    }
    void run(double seconds) {
        const Instant end = now + Span::seconds(seconds);
        while (!events_.empty() && events_.top().when <= end) {
            Event e = events_.top();
            events_.pop();
            now = std::max(now, e.when);
            if (!nodes_[e.to]) continue;
            if (frozen.count(e.to)) {
                if (!e.data.empty()) heldEvents_.push_back(e);  // waits in its socket buffer
                continue;
            }
            if (e.data.empty()) {
                if (nodes_[e.to]->wakeAt() > now) continue;  // the wake-up was rescheduled
                nodes_[e.to]->tick(now);
            } else if (e.data == "fetch") {
                if (!nodes_[e.from] || frozen.count(e.from) || isCut(e.to, e.from) ||
                    failFetchFrom.count(e.from))
                    nodes_[e.to]->fetchFailed(now, peer(e.from).ip);
                else
                    nodes_[e.to]->updateDigest(now, nodes_[e.from]->digest());
            } else {
                const auto m = decode(e.data);
                ASSERT_TRUE(m.has_value());
                nodes_[e.to]->receive(now, peer(e.from).ip, *m);
            }
            processOutputs(e.to);
            afterEachInput();
        }
        now = end;
    }
    void thaw(size_t i) {
        frozen.erase(i);
        std::vector<Event> mine;
        std::swap(mine, heldEvents_);
        for (Event& e : mine) {
            e.when = now;
            push(std::move(e));
        }
        processOutputs(i);
    }
    // The least share of the agents that really run which any agent counts as alive.
    double leastKnownShare() {
        std::set<std::string> truly;
        for (size_t i = 0; i < nodes_.size(); ++i)
            if (nodes_[i] && !frozen.count(i)) truly.insert(peer(i).name);
        double least = 1;
        for (size_t i = 0; i < nodes_.size(); ++i) {
            if (!nodes_[i] || frozen.count(i)) continue;
            size_t k = 0;
            for (const Peer& p : nodes_[i]->livePeers(now)) k += truly.count(p.name);
            least = std::min(least, static_cast<double>(k) / static_cast<double>(truly.size()));
        }
        return least;
    }
    size_t countBelieving(const std::string& name) {
        size_t k = 0;
        for (size_t i = 0; i < nodes_.size(); ++i)
            if (nodes_[i] && !frozen.count(i))
                for (const Peer& p : nodes_[i]->livePeers(now)) k += p.name == name;
        return k;
    }
    size_t countBehind(int64_t version) {
        size_t k = 0;
        for (auto& n : nodes_) k += n && n->digest().version < version;
        return k;
    }
    double runUntil(double most, const std::function<bool()>& reached) {
        const Instant from = now;
        while ((now - from).inSeconds() < most && !reached()) run(0.25);
        return (now - from).inSeconds();
    }

    Instant now = at(1000);
    std::set<size_t> frozen, failFetchFrom;
    std::function<bool(size_t, size_t)> isCut = [](size_t, size_t) { return false; };
    size_t datagrams = 0, bytes = 0, crossZoneBytes = 0, fetches = 0, holderChanges = 0;
    // How long a fetch of the configuration from that agent takes if started now.
    std::function<Span(size_t)> transferTime = [](size_t) { return Span::millis(5); };
    std::function<void()> afterEachInput = [] {};  // called after each input
    double duplicateShare = 0;                     // share of datagrams that are delivered twice
    void setLoss(double share) { loss_ = share; }
    bool isRunning(size_t i) const { return nodes_[i] != nullptr; }
    size_t size() const { return nodes_.size(); }

  private:
    struct Event {
        Instant when;
        uint64_t order = 0;
        size_t to = 0, from = 0;
        std::string data;
        bool operator<(const Event& o) const { return when != o.when ? when > o.when : order > o.order; }
    };
    void push(Event e) {
        e.order = ++pushedCount_;
        events_.push(std::move(e));
    }
    double randomShare() { return static_cast<double>(rng_() % 1000000) / 1e6; }

    double loss_;
    uint32_t seed_;
    std::function<void(Options&)> adjustOptions_;
    std::mt19937 rng_;
    std::vector<std::unique_ptr<GossipNode>> nodes_;
    std::unordered_map<std::string, size_t> ips_;
    std::priority_queue<Event> events_;
    std::vector<Event> heldEvents_;
    uint64_t pushedCount_ = 0;
};

}  // namespace petrelpond::gossip
