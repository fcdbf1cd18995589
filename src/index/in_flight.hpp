// Calls in flight, and the order of texts that share a key.
#pragma once

#include <deque>
#include <map>
#include <set>

#include "petrelpond/ids.hpp"
#include "petrelpond/time.hpp"

namespace petrelpond {

// Start times of the calls in flight. A call counts as lost once calls that started long after it have been answered
// (its connection fell silent or its answer was lost): it keeps its slot, but is left out of load and age. All other
// calls are live.
struct InFlightCalls {
    std::multiset<Instant> starts;
    Instant answeredStart = Instant::longAgo();  // latest start of a call that was delivered
    Span lostAfter;                              // a call that started this long before it is lost
    // The oldest live call, or the end.
    auto firstLive() const { return starts.lower_bound(answeredStart - lostAfter); }
    double liveCount() const { return static_cast<double>(std::distance(firstLive(), starts.end())); }
    // Ages of live calls, in seconds.
    double longestAge(Instant now) const { return liveCount() > 0 ? (now - *firstLive()).inSeconds() : 0; }
    double totalAge(Instant now) const {
        double sum = 0;
        for (auto at = firstLive(); at != starts.end(); ++at) sum += (now - *at).inSeconds();
        return sum;
    }
};

// Texts of one key are sent in order of arrival. After a submit that may still run the key is held: for some time
// only the text of that submit may be sent.
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
    // The text must have been enqueued.
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
