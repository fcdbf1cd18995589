// Every interleaving, up to a bound, of two requests on connections to an instance that behaves well or
// badly: pieces of answers arrive or are lost, the connection closes or is reset, the sender gives up.
// Counted and exhausted, not sampled. No answer goes to another request, and nothing that has run is told or
// taken not to have run.
#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "system/network/environment_for_test.hpp"
#include "system/proxy/answer_reading.hpp"

namespace petrelpond::proxy {
namespace {

// What an instance does with one request.
struct Behaviour {
    const char* name;
    bool runs;
    std::function<std::vector<std::string>(const std::string& id, const std::string& other)> pieces;
    enum class End { stays, closes, resets } end = End::stays;
};

std::string headOf(int status, const std::string& id, size_t length, const std::string& more = "") {
    std::string head = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    if (!id.empty()) head += "X-Attempt-Id: " + id + "\r\n";
    return head + more + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}
std::string bodyFor(const std::string& id) { return "body of " + id; }

// Head and body as two pieces, the head cut once more.
std::vector<std::string> answer(int status, const std::string& id, const std::string& more,
                                const std::string& body) {
    const std::string head = headOf(status, id, body.size(), more);
    return {head.substr(0, 20), head.substr(20), body};
}
std::vector<std::string> success(const std::string& id) {
    return answer(200, id, "X-Endpoint-Seal: s\r\n", bodyFor(id));
}
std::vector<std::string> joined(std::vector<std::string> first, const std::vector<std::string>& second) {
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

const std::vector<Behaviour>& behaviours() {
    using Id = const std::string&;
    static const std::vector<Behaviour> all = {
        {"answers", true, [](Id id, Id) { return success(id); }},
        {"answers and closes", true, [](Id id, Id) { return success(id); }, Behaviour::End::closes},
        {"answers twice", true, [](Id id, Id) { return joined(success(id), success(id)); }},
        {"answers another after it", true,
         [](Id id, Id other) { return joined(success(id), success(other)); }},
        {"answers another before it", true,
         [](Id id, Id other) { return joined(success(other), success(id)); }},
        {"answers another alone", true, [](Id, Id other) { return success(other); }, Behaviour::End::closes},
        {"sends more than it told", true, [](Id id, Id) { return joined(success(id), {"more"}); }},
        {"refuses", false, [](Id id, Id) { return answer(503, id, "X-Not-Executed: 1\r\n", ""); }},
        {"refuses another, runs ours", true,
         [](Id id, Id other) {
             return joined(answer(503, other, "X-Not-Executed: 1\r\n", ""), success(id));
         }},
        {"refuses nobody by name", true, [](Id, Id) { return answer(503, "", "X-Not-Executed: 1\r\n", ""); }},
        {"says 503 without a promise", true, [](Id id, Id) { return answer(503, id, "", "busy"); }},
        {"says 429 without a promise", true, [](Id id, Id) { return answer(429, id, "", ""); }},
        {"is another instance", false, [](Id id, Id) { return answer(421, id, "", ""); }},
        {"fails", true, [](Id id, Id) { return answer(500, id, "", "oh"); }},
        {"has no seal", true, [](Id id, Id) { return answer(200, id, "", bodyFor(id)); }},
        {"cuts the body", true,
         [](Id id, Id) {
             return std::vector{headOf(200, id, 50, "X-Endpoint-Seal: s\r\n"), bodyFor(id)};
         },
         Behaviour::End::closes},
        {"speaks no HTTP", true, [](Id, Id) { return std::vector<std::string>{"no answer\r\n\r\n"}; }},
        {"has an interim answer", true,
         [](Id id, Id) { return joined({"HTTP/1.1 100 Continue\r\n\r\n"}, success(id)); }},
        {"closes unread", false, [](Id, Id) { return std::vector<std::string>{}; }, Behaviour::End::closes},
        {"runs and closes", true, [](Id, Id) { return std::vector<std::string>{}; }, Behaviour::End::closes},
        {"runs and resets", true, [](Id, Id) { return std::vector<std::string>{}; }, Behaviour::End::resets},
        {"is silent", true, [](Id, Id) { return std::vector<std::string>{}; }},
    };
    return all;
}

struct Counts {
    uint64_t states = 0, ends = 0;
    std::string broken;
};

// One connection and the two requests that are to go over it, the second on a new one where the first is not
// kept.
struct Play {
    std::array<const Behaviour*, 2> script;
    bool repeatable = false;
    Counts* counts = nullptr;

    ResponseReader reading{1000};
    ReaderDefect defect = ReaderDefect::none;
    std::vector<std::string> flight;  // on its way to the sender
    size_t arrived = 0;               // of these
    std::string in;                   // read from the socket, not taken yet
    Behaviour::End end = Behaviour::End::stays;
    int current = -1;  // the request under way; -1: none
    int sent = 0;      // how many were sent
    bool open = false, faultLeft = true;
    std::array<bool, 2> ran{};

    static std::string idOf(int request) { return request == 0 ? "first" : "second"; }

    void fail(const std::string& why) {
        if (!counts->broken.empty()) return;
        counts->broken = why + ": " + script[0]->name + ", " + script[1]->name;
    }
    void connect() {
        reading = ResponseReader(1000, defect);
        flight.clear(), in.clear();
        arrived = 0;
        end = Behaviour::End::stays;
        open = true;
    }
    void send() {
        if (!open) connect();
        const Behaviour& does = *script[static_cast<size_t>(sent)];
        // A peer that has closed meanwhile reads nothing more.
        if (end == Behaviour::End::stays) {
            ran[static_cast<size_t>(sent)] = does.runs;
            for (std::string& piece : does.pieces(idOf(sent), idOf(1 - sent))) {
                if (!piece.empty()) flight.push_back(std::move(piece));
            }
            end = does.end;
        }
        current = sent++;
    }
    void conclude(AttemptOutcome how, const network::HttpAnswer* got) {
        const auto request = static_cast<size_t>(current);
        if (!mayHaveExecuted(how) && ran[request]) fail("taken not to have run");
        const bool passes = how == AttemptOutcome::answered || how == AttemptOutcome::serverError;
        if (passes && got) {
            const auto id = got->head.field("X-Attempt-Id");
            if (!id || *id != idOf(current)) fail("an answer that belongs to another request");
            const bool success = got->status >= 200 && got->status < 300;
            if (success && got->body != bodyFor(idOf(current))) fail("a success without its whole body");
            if (success && !got->head.field("X-Endpoint-Seal")) fail("a success that is not the instance's");
        }
        current = -1;
    }
    void read(bool ended) {
        if (current < 0) {  // bytes that nobody asked for, or the end of a connection that rests
            open = open && !ended && in.empty();
            return;
        }
        const ExpectedResponse expected{idOf(current), repeatable, false};
        const auto conclusion = reading.read(in, ended, expected);
        if (!conclusion) {
            if (ended) conclude(AttemptOutcome::connectionBroken, nullptr), open = false;
            return;
        }
        open = conclusion->response && conclusion->isReusable;
        conclude(conclusion->outcome, conclusion->response.get());
    }

    // Each thing that can happen next, from a copy.
    void explore() const {
        ++counts->states;
        if (!counts->broken.empty()) return;
        bool any = false;
        const auto branch = [&](auto&& change) {
            Play next = *this;
            change(next);
            any = true;
            next.explore();
        };
        if (current < 0 && sent < 2) branch([](Play& p) { p.send(); });
        if (open && arrived < flight.size()) {
            branch([](Play& p) {
                p.in += p.flight[p.arrived++];
                p.read(false);
            });
            // Two pieces at once: the kernel had both as the sender came to read.
            if (arrived + 1 < flight.size()) {
                branch([](Play& p) {
                    p.in += p.flight[p.arrived++];
                    p.in += p.flight[p.arrived++];
                    p.read(false);
                });
            }
        }
        if (open && arrived == flight.size() && end != Behaviour::End::stays)
            branch([](Play& p) { p.endConnection(); });
        if (open && faultLeft) {
            branch([](Play& p) {
                p.faultLeft = false;
                p.endConnection();
            });
        }
        if (current >= 0) {
            branch([](Play& p) {
                p.conclude(AttemptOutcome::timedOut, nullptr);
                p.open = false;
            });
        }
        counts->ends += !any;
    }
    void endConnection() {
        read(true);
        open = false;
    }
};

Counts exhaust(bool repeatable, ReaderDefect defect) {
    Counts counts;
    for (const Behaviour& first : behaviours()) {
        for (const Behaviour& second : behaviours()) {
            Play play;
            play.script = {&first, &second};
            play.repeatable = repeatable;
            play.defect = defect;
            play.counts = &counts;
            play.explore();
        }
    }
    return counts;
}

TEST(AnswerModel, NoInterleavingGivesAnAnswerToAnotherOrRunsAnythingTwice) {
    for (const bool repeatable : {false, true}) {
        const Counts counts = exhaust(repeatable, ReaderDefect::none);
        EXPECT_EQ(counts.broken, "");
        EXPECT_GT(counts.states, 10000u);
        std::cout << (repeatable ? "repeatable: " : "once only: ") << counts.states << " states, "
                  << counts.ends << " ends\n";
    }
}
TEST(AnswerModel, AnIdThatIsNotCheckedIsCaught) {
    EXPECT_NE(exhaust(false, ReaderDefect::acceptsAnyId).broken, "");
}
TEST(AnswerModel, AnAnswerThatWasCutAndPassedOnIsCaught) {
    EXPECT_NE(exhaust(false, ReaderDefect::acceptsTruncated).broken, "");
}
TEST(AnswerModel, ARefusalThatIsNoPromiseAndBelievedIsCaught) {
    EXPECT_NE(exhaust(false, ReaderDefect::acceptsUnconfirmedRejection).broken, "");
}
// Where a request's own answer came twice the id of the next one tells them apart, and bytes that are no
// answer spoil it; what this defect breaks is told by the conclusion itself.
TEST(AnswerModel, AConnectionWithMoreThanOneAnswerIsNotKept) {
    for (const ReaderDefect defect : {ReaderDefect::none, ReaderDefect::reusesAfterExcess}) {
        ResponseReader reading(1000, defect);
        std::string in;
        for (const std::string& piece : joined(success("first"), success("first"))) in += piece;
        const auto conclusion = reading.read(in, false, {"first", false, false});
        ASSERT_TRUE(conclusion);
        EXPECT_EQ(conclusion->outcome, AttemptOutcome::answered);
        EXPECT_EQ(conclusion->isReusable, defect == ReaderDefect::reusesAfterExcess);
    }
}

// Answers with bytes changed, left out and put in by chance: never a crash, and what is passed on is whole
// and ours. ANSWER_INPUTS=1000000 for a long run, ANSWER_FIRST to begin elsewhere.
TEST(AnswerModel, SpoiltBytesAreNeverPassedOnAsAnothers) {
    const uint32_t first = numberFromEnvironment("ANSWER_FIRST", 1),
                   count = numberFromEnvironment("ANSWER_INPUTS", 50000);
    uint64_t passed = 0;
    for (uint32_t seed = first; seed < first + count; ++seed) {
        std::mt19937 random(seed);
        const Behaviour& does = behaviours()[random() % behaviours().size()];
        std::string bytes;
        for (const std::string& piece : does.pieces("first", "second")) bytes += piece;
        for (uint32_t change = random() % 4; change > 0 && !bytes.empty(); --change) {
            const size_t at = random() % bytes.size();
            switch (random() % 3) {
                case 0:
                    bytes[at] = static_cast<char>(random());
                    break;
                case 1:
                    bytes.erase(at, 1 + random() % 8);
                    break;
                default:
                    bytes.insert(at, bytes.substr(random() % bytes.size(), random() % 30));
            }
        }
        ResponseReader reading(1000);
        std::string in;
        size_t at = 0;
        std::optional<ReadResult> conclusion;
        while (!conclusion && at < bytes.size()) {
            const size_t more = 1 + random() % 40;
            in += bytes.substr(at, more);
            at += more;
            conclusion = reading.read(in, false, {"first", false, false});
        }
        if (!conclusion) conclusion = reading.read(in, true, {"first", false, false});
        if (!conclusion || !conclusion->response) continue;
        const bool passes = conclusion->outcome == AttemptOutcome::answered ||
                            conclusion->outcome == AttemptOutcome::serverError;
        if (!passes) continue;
        ++passed;
        EXPECT_EQ(conclusion->response->head.field("X-Attempt-Id").value_or(""), "first") << "seed " << seed;
        const auto length = conclusion->response->head.field("Content-Length");
        if (length && !conclusion->response->bodiless) {
            EXPECT_EQ(conclusion->response->body.size(), http::wholeNumber(*length).value_or(0))
                << "seed " << seed;
        }
    }
    EXPECT_GT(passed, count / 20);
}

}  // namespace
}  // namespace petrelpond::proxy
