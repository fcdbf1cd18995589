// Starts of the calls that are out, and the order of texts that share a key.
#pragma once

#include <deque>
#include <map>
#include <set>

#include "petrelpond/ids.hpp"
#include "petrelpond/time.hpp"

namespace petrelpond {

// Starts of the calls that are out. One that calls begun long after it have overtaken is lost (its connection
// fell silent, its answer went astray): it keeps its slot, but says nothing of how busy or slow the place is.
struct InFlightCalls {
    std::multiset<Instant> starts;
    Instant latestAnsweredStart = Instant::longAgo();  // the latest start of one that was delivered
    Span lostAfter;                              // overtaken by so much it is lost
    auto firstLive() const { return starts.lower_bound(latestAnsweredStart - lostAfter); }
    double liveCount() const { return static_cast<double>(std::distance(firstLive(), starts.end())); }
    double longestAge(Instant now) const { return liveCount() > 0 ? (now - *firstLive()).inSeconds() : 0; }
    double totalAge(Instant now) const {
        double sum = 0;
        for (auto at = firstLive(); at != starts.end(); ++at) sum += (now - *at).inSeconds();
        return sum;
    }
};

// Texts of one key go in the order taken; after a submit that may still run the key rests.
struct KeyOrder {
    struct Queue {
        std::deque<TextIndex> texts;
        Instant heldUntil = Instant::longAgo();
        TextIndex heldFor;
    };
    std::map<uint64_t, Queue> queues;

    void enqueue(uint64_t key, TextIndex text) { queues[key].texts.push_back(text); }
    TextIndex front(uint64_t key) const {
        auto queue = queues.find(key);
        return queue == queues.end() || queue->second.texts.empty() ? TextIndex() : queue->second.texts.front();
    }
    bool maySubmit(uint64_t key, TextIndex text, Instant now) const {
        const Queue& queue = queues.at(key);
        return queue.texts.front() == text && (now >= queue.heldUntil || queue.heldFor == text);
    }
    void hold(uint64_t key, TextIndex text, Instant until) {
        queues[key].heldUntil = until, queues[key].heldFor = text;
    }
    void remove(uint64_t key, TextIndex text) { std::erase(queues[key].texts, text); }
    void eraseIdle(Instant now) {
        std::erase_if(queues, [&](auto& k) { return k.second.texts.empty() && now >= k.second.heldUntil; });
    }
};

}  // namespace petrelpond
