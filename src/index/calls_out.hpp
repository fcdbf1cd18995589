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
struct InFlight {
    std::multiset<Instant> starts;
    Instant answered = Instant::longAgo();  // the latest start of one that was delivered
    Span late;                              // overtaken by so much it is lost
    auto live() const { return starts.lower_bound(answered - late); }
    double count() const { return static_cast<double>(std::distance(live(), starts.end())); }
    double longest(Instant now) const { return count() > 0 ? (now - *live()).inSeconds() : 0; }
    double ages(Instant now) const {
        double sum = 0;
        for (auto at = live(); at != starts.end(); ++at) sum += (now - *at).inSeconds();
        return sum;
    }
};

// Texts of one key go in the order taken; after a submit that may still run the key rests.
struct KeyOrder {
    struct Line {
        std::deque<TextIndex> texts;
        Instant restsUntil = Instant::longAgo();
        TextIndex restsFor;
    };
    std::map<uint64_t, Line> keys;

    void taken(uint64_t key, TextIndex text) { keys[key].texts.push_back(text); }
    TextIndex first(uint64_t key) const {
        auto line = keys.find(key);
        return line == keys.end() || line->second.texts.empty() ? TextIndex() : line->second.texts.front();
    }
    bool mayGo(uint64_t key, TextIndex text, Instant now) const {
        const Line& line = keys.at(key);
        return line.texts.front() == text && (now >= line.restsUntil || line.restsFor == text);
    }
    void rest(uint64_t key, TextIndex text, Instant until) {
        keys[key].restsUntil = until, keys[key].restsFor = text;
    }
    void done(uint64_t key, TextIndex text) { std::erase(keys[key].texts, text); }
    void forgetIdle(Instant now) {
        std::erase_if(keys, [&](auto& k) { return k.second.texts.empty() && now >= k.second.restsUntil; });
    }
};

}  // namespace petrelpond
