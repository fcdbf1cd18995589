// Runs the decision module beside a plain model of the rules on generated inputs: every decision must be allowed by
// the model, and every text must get its answer.
#include "tests/helpers.hpp"

using namespace petrelpond;

namespace {

struct Late {
    Instant at;
    Submit submit;
    SubmitStatus end;
    Span wait;
};

void play(Set set, uint32_t seed, double badShare) {
    std::mt19937 chance(seed);
    auto draw = [&](uint32_t n) { return static_cast<uint32_t>(chance() % n); };
    Rig rig(set, seed);
    for (uint32_t d = 0; d < 4; ++d) rig.endpoints(d, 3 * d, 1 + draw(3), d % 3, 1 + draw(20));
    std::vector<Late> late;
    std::vector<TextIndex> texts;
    Instant stop = rig.now + Span::seconds(25);
    while (rig.now < stop + Span::seconds(25)) {
        rig.now = rig.now + Span::millis(5 + draw(30));
        // Results arrive in order of their drawn times, in the round after their submit at the earliest.
        std::stable_sort(late.begin(), late.end(), [](auto& a, auto& b) { return a.at < b.at; });
        while (!late.empty() && late.front().at <= rig.now) {
            Late l = late.front();
            late.erase(late.begin());
            auto& row = rig.rules.rows[l.submit.text];
            if (rig.now >= row.arrival.validUntil) l.end = SubmitStatus::timeout, l.wait = Span();
            rig.end(l.submit, l.end, l.wait);
        }
        if (rig.now < stop && draw(3) == 0) {
            std::optional<uint64_t> key;
            if (draw(2) == 0) key = draw(3);
            texts.push_back(rig.text(draw(4), draw(static_cast<uint32_t>(set.products.size())), key));
        }
        if (draw(150) == 0) {
            auto entry =
                std::next(rig.rules.list.begin(), draw(static_cast<uint32_t>(rig.rules.list.size())));
            ListEntry changed = entry->second;
            const ListState states[] = {ListState::active, ListState::active, ListState::draining,
                                        ListState::removed};
            changed.state = states[draw(4)];
            rig.list(std::vector<ListEntry>(draw(3) == 0 ? 300 : 1, changed));
        }
        rig.pull();
        for (const Submit& s : rig.submits) {
            Instant limit = rig.rules.rows[s.text].arrival.validUntil;
            if (s.timeout > Span()) limit = std::min(limit, rig.now + s.timeout);
            Instant at = rig.now + Span::millis(6 + draw(600));
            SubmitStatus how = SubmitStatus::delivered;
            Span wait;
            if (draw(1000) < badShare * 1000) {
                const SubmitStatus bad[] = {SubmitStatus::error,       SubmitStatus::overloaded,
                                            SubmitStatus::timeout,     SubmitStatus::unreachable,
                                            SubmitStatus::reset,       SubmitStatus::notSent};
                how = bad[draw(6)];
                if (how == SubmitStatus::overloaded && draw(2) == 0) wait = Span::millis(draw(2000));
            }
            if (at >= limit) at = limit, how = SubmitStatus::timeout, wait = Span();
            late.push_back({at, s, how, wait});
        }
    }
    REQUIRE(texts.size() > 50);
    size_t delivered = 0;
    for (TextIndex t : texts) {
        const auto& row = rig.rules.rows[t];
        INFO("seed " << seed << " text " << t.value);
        CHECK(row.answers == 1);
        delivered += row.answers == 1 && !row.out;
    }
    CHECK(delivered == texts.size());
}

Set inOrder() {
    Set set;
    for (Product& p : set.products) p.inOrder = true;
    return set;
}

}  // namespace

TEST_CASE("the module does nothing that the rules model forbids, and answers every text once") {
    uint32_t seed = GENERATE(take(12, random(1, 1'000'000)));
    double bad = GENERATE(0.0, 0.2, 0.7);
    play(Set{}, seed, bad);
}

TEST_CASE("with every product in order, the module follows the rules model") {
    uint32_t seed = GENERATE(take(12, random(1, 1'000'000)));
    play(inOrder(), seed, GENERATE(0.0, 0.3));
}

TEST_CASE("under unusual settings, the module follows the rules model") {
    Set set;
    set.products[1].dedupPerZone = true;
    SECTION("no limits and no settings") {
        set.room = SenderLimits{};
        set.crew.senders = 0;
        set.cold = ColdStartRule{};
        set.links = ConnectionRule{};
    }
    SECTION("one slot, one submit") { set.room.maxCalls = set.room.maxSubmits = 1; }
    SECTION("one slot, a store of one") { set.room.maxCalls = set.room.maxTexts = 1; }
    SECTION("thousands of senders") { set.crew.senders = 5000; }
    SECTION("no kinds are named, so every endpoint is of the default kind") { set.kinds.resize(3, EndpointKind{}); }
    play(set, GENERATE(take(6, random(1, 1'000'000))), 0.3);
}
