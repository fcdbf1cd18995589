// Runs the decision module beside a plain model of the rules on generated inputs: every decision must be allowed by
// the model, and every text must get its answer.
#include "tests/helpers.hpp"

using namespace petrelpond;

namespace {

struct PendingResult {
    Instant at;
    Submit submit;
    SubmitStatus status;
    Span wait;
};

void runBesideModel(Set set, uint32_t seed, double failureShare) {
    std::mt19937 random(seed);
    auto draw = [&](uint32_t n) { return static_cast<uint32_t>(random() % n); };
    Rig rig(set, seed);
    for (uint32_t d = 0; d < 4; ++d) rig.endpoints(d, 3 * d, 1 + draw(3), d % 3, 1 + draw(20));
    std::vector<PendingResult> pending;
    std::vector<TextIndex> texts;
    Instant stop = rig.now + Span::seconds(25);
    while (rig.now < stop + Span::seconds(25)) {
        rig.now = rig.now + Span::millis(5 + draw(30));
        // Results arrive in order of their drawn times, in the round after their submit at the earliest.
        std::stable_sort(pending.begin(), pending.end(), [](auto& a, auto& b) { return a.at < b.at; });
        while (!pending.empty() && pending.front().at <= rig.now) {
            PendingResult next = pending.front();
            pending.erase(pending.begin());
            auto& row = rig.rules.rows[next.submit.text];
            if (rig.now >= row.arrival.validUntil) next.status = SubmitStatus::timeout, next.wait = Span();
            rig.end(next.submit, next.status, next.wait);
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
            SubmitStatus status = SubmitStatus::delivered;
            Span wait;
            if (draw(1000) < failureShare * 1000) {
                const SubmitStatus bad[] = {SubmitStatus::error,       SubmitStatus::overloaded,
                                            SubmitStatus::timeout,     SubmitStatus::unreachable,
                                            SubmitStatus::reset,       SubmitStatus::notSent};
                status = bad[draw(6)];
                if (status == SubmitStatus::overloaded && draw(2) == 0) wait = Span::millis(draw(2000));
            }
            if (at >= limit) at = limit, status = SubmitStatus::timeout, wait = Span();
            pending.push_back({at, s, status, wait});
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
    double failureShare = GENERATE(0.0, 0.2, 0.7);
    runBesideModel(Set{}, seed, failureShare);
}

TEST_CASE("with every product in order, the module follows the rules model") {
    uint32_t seed = GENERATE(take(12, random(1, 1'000'000)));
    runBesideModel(inOrder(), seed, GENERATE(0.0, 0.3));
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
    runBesideModel(set, GENERATE(take(6, random(1, 1'000'000))), 0.3);
}
