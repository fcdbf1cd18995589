// Parsers, writers, the store and the actors' parts, each alone.
#include "src/protocol/base64.hpp"
#include "src/protocol/messages.hpp"
#include "src/routing/endpoint_actor.hpp"
#include "src/transport/thread.hpp"
#include "src/routing/mailbox.hpp"
#include "src/routing/outcome.hpp"
#include "src/transport/buffers.hpp"
#include "tests/helpers.hpp"

using namespace petrelpond;

namespace {

http::Head response(const std::string& bytes) {
    http::Head head;
    REQUIRE(http::parseResponse(bytes, head) == http::Fault::none);
    return head;
}
std::vector<Parcel> parcels(std::initializer_list<const char*> ids) {
    std::vector<Parcel> all;
    for (const char* id : ids) all.push_back({id, "", std::make_shared<const std::string>("b")});
    return all;
}

struct NoReport : Report {
    void add(Count, long) override {}
    bool says(Level) const override { return false; }
    void say(Level, std::string_view) override {}
    std::string counters() const override { return ""; }
};

// An endpoint actor at an address, and the ends of its calls.
struct Endpoint {
    explicit Endpoint(const std::string& address, Span connectWithin = Span::seconds(5), int most = 4) {
        lines->left = most;
        static std::shared_ptr<EndpointLoop> loop = [] {
            auto made = std::make_shared<EndpointLoop>();
            REQUIRE(startThread([made] { made->run(); }));
            return made;
        }();
        EndpointActor::Ways ways{loop.get(),
                                 buffers.get(),
                                 lines.get(),
                                 report.get(),
                                 {},
                                 connectWithin,
                                 Span::seconds(2),
                                 [box = ends](CallEnd e) { box->postHeld(std::move(e)); }};
        actor = std::make_shared<EndpointActor>(EndpointIndex(0u), address, ways);
    }
    void call(uint32_t text, Span time) {
        Call c;
        c.texts = {TextIndex(text)}, c.parcels = parcels({"a"}), c.until = steadyNow() + time;
        REQUIRE(actor->call(std::move(c)));
    }
    std::optional<Ending> ending(Span within = Span::millis(400)) {
        auto got = ends->drain(steadyNow() + within);
        return got.empty() ? std::nullopt : std::optional(got.front().ending);
    }
    // The actor's threads outlive a test by a moment.
    std::shared_ptr<Buffers> buffers = keep(std::make_shared<Buffers>(4));
    std::shared_ptr<Lines> lines = keep(std::make_shared<Lines>());
    std::shared_ptr<NoReport> report = keep(std::make_shared<NoReport>());
    std::shared_ptr<Mailbox<CallEnd>> ends = std::make_shared<Mailbox<CallEnd>>(9);
    std::shared_ptr<EndpointActor> actor;

  private:
    template <class T>
    static std::shared_ptr<T> keep(std::shared_ptr<T> made) {
        static std::vector<std::shared_ptr<T>> all;
        all.push_back(made);
        return made;
    }
};

}  // namespace

TEST_CASE(
    "a connection that does not come up ends its call unsent: by its bounds, a cancel, a drain or a wait") {
    Stalled place;
    Endpoint quick(place.address, Span::millis(60));
    quick.call(1, Span::seconds(5));
    CHECK(quick.ending() == Ending::neverUp);
    Endpoint at(place.address);
    at.call(1, Span::millis(60));
    auto end = at.ending();
    CHECK((end == Ending::timedOutUnsent || end == Ending::neverUp));
    at.call(2, Span::seconds(5));
    CHECK_FALSE(at.ending(Span::millis(100)));
    at.actor->cancel(TextIndex(3u));
    CHECK_FALSE(at.ending(Span::millis(100)));
    at.actor->cancel(TextIndex(2u));
    CHECK(at.ending() == Ending::cancelledUnsent);
    at.call(4, Span::seconds(5));
    CHECK_FALSE(at.ending(Span::millis(100)));
    at.actor->holdBack();
    CHECK(at.ending() == Ending::cancelledUnsent);
    at.call(5, Span::seconds(5));
    CHECK_FALSE(at.ending(Span::millis(100)));
    at.actor->retire();
    CHECK(at.ending() == Ending::cancelledUnsent);
    Endpoint nobody("127.0.0.1:1");
    nobody.call(1, Span::seconds(5));
    CHECK(nobody.ending() == Ending::refused);
    Endpoint poor(place.address, Span::seconds(5), 0);
    poor.call(1, Span::seconds(5));
    CHECK(poor.ending() == Ending::noMeans);
}

TEST_CASE("a call that has left may have run, and a drain leaves it alone") {
    Peer silent([](const std::string&) { return std::string("silence"); });
    Endpoint at(silent.address);
    at.call(1, Span::millis(300));
    REQUIRE(eventually([&] { return silent.count("POST /events") == 1; }));
    at.actor->holdBack();
    CHECK_FALSE(at.ending(Span::millis(100)));
    CHECK(at.ending() == Ending::timedOut);
    at.call(2, Span::seconds(5));
    REQUIRE(eventually([&] { return silent.count("POST /events") == 2; }));
    at.actor->cancel(TextIndex(2u));
    CHECK(at.ending() == Ending::cancelled);
    Peer broken(
        [](const std::string&) { return std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nx"); });
    Endpoint half(broken.address);
    half.call(1, Span::millis(200));
    CHECK(half.ending() == Ending::halfAnswered);
    at.actor->retire(), half.actor->retire();
    pause(50);
}

TEST_CASE("heads are parsed in any case, and bad ones told apart from long ones") {
    http::Head head;
    std::string bytes =
        "POST /a%20b/c?subject=x%2By+z&q HTTP/1.1\r\nrequest-ID:  7 \r\nContent-Length: 3\r\n\r\n";
    REQUIRE(http::headEnd(bytes) == bytes.size());
    CHECK_FALSE(http::headEnd(bytes.substr(0, bytes.size() - 1)));
    REQUIRE(http::parseRequest(bytes, head) == http::Fault::none);
    CHECK(head.field("Request-Id") == "7");
    auto target = http::parseTarget(head.second);
    REQUIRE(target);
    CHECK(http::unescape(target->path[0], false) == "a b");
    CHECK(target->parameter("subject") == "x+y z");
    std::optional<size_t> length;
    CHECK(http::bodyLength(head, length) == http::Fault::none);
    CHECK(length == 3);
    for (const char* bad :
         {"POST\r\n\r\n", "POST /  HTTP/1.1\r\n\r\n", "POST / HTTP/2\r\n\r\n", "P\x01ST / HTTP/1.1\r\n\r\n",
          "GET / HTTP/1.1\r\nno colon\r\n\r\n", "GET / HTTP/1.1\r\nA B: c\r\n\r\n"}) {
        http::Head other;
        CHECK(http::parseRequest(bad, other) == http::Fault::malformed);
    }
    http::Head twice;
    REQUIRE(http::parseRequest("GET / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", twice) ==
            http::Fault::none);
    CHECK(http::bodyLength(twice, length) == http::Fault::malformed);
    std::string body, chunks = "4;x=1\r\nWiki\r\nA\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n";
    size_t taken = 0;
    CHECK(http::unchunk(chunks + "HTTP", body, taken) == http::Chunks::whole);
    CHECK(body == "Wiki0123456789");
    CHECK(taken == chunks.size());
    for (size_t i = 0; i < chunks.size(); ++i) {
        CHECK(http::unchunk(chunks.substr(0, i), body, taken) == http::Chunks::incomplete);
    }
    for (const char* bad : {"x\r\n", "\r\n", "4\r\nWikipedia\r\n", "fffff\r\n", "-1\r\n"}) {
        CHECK(http::unchunk(bad, body, taken) == http::Chunks::malformed);
    }
    CHECK(http::firstLineStatus("HTTP/1.1 200 OK\r\nCont") == 200);
    CHECK(http::firstLineStatus("HTTP/1.1 200") == 0);
}

TEST_CASE("JSON is read strictly and bounded in depth; Base64 pads") {
    auto value = json::parse(R"({"a":[1,-2.5e1,"x\u00e9\ud83d\ude00\n"],"b":{"c":true,"d":null}})");
    REQUIRE(value);
    CHECK(value->member("a")->items[1].number == -25);
    CHECK(value->member("a")->items[2].text == "x\xc3\xa9\xf0\x9f\x98\x80\n");
    CHECK(value->member("b")->member("c")->truth);
    for (const char* bad :
         {"", "{", "[1,]", "{\"a\"}", "01x", "\"\\ud800\"", "\"\x01\"", "[1] 2", "nul", "1e999"}) {
        CHECK_FALSE(json::parse(bad));
    }
    CHECK_FALSE(json::parse(std::string(60000, '[')));
    CHECK(json::quote("a\"\\\n") == "\"a\\\"\\\\\\u000a\"");
    CHECK(base64("") == "");
    CHECK(base64("f") == "Zg==");
    CHECK(base64("fo") == "Zm8=");
    CHECK(base64("foo") == "Zm9v");
    CHECK(base64(std::string("\xff\x00\xfe", 3)) == "/wD+");
}

TEST_CASE("answers mean what the protocol says") {
    auto one = parcels({"a"});
    auto read = [&](const std::string& status, const std::string& fields = "") {
        return *readAnswer(response("HTTP/1.1 " + status + " x\r\n" + fields + "\r\n"), "", one, {"x1", "x0"});
    };
    CHECK(read("200").verdicts[0] == Verdict::delivered);
    CHECK(read("500").verdicts[0] == Verdict::error);
    CHECK(read("302").verdicts[0] == Verdict::error);
    CHECK(read("503").verdicts[0] == Verdict::turnedAway);
    CHECK(read("503", "Slots-Taken: 1\r\n").verdicts[0] == Verdict::notSent);
    CHECK(read("504").verdicts[0] == Verdict::notSent);
    CHECK(read("410").verdicts[0] == Verdict::over);
    Answer told = read("429", "Wait-Ms: 350\r\nServer-Load: x0=0.4, x1=25\r\n");
    CHECK(told.wait == Span::millis(350));
    CHECK(told.limit == 25);
    CHECK(read("429", "Wait-Ms: nan\r\nServer-Load: x1=\r\n").wait == Span());
    auto several = parcels({"a", "b", "c", "d", "e", "f"});
    std::string body =
        R"([{"id":"b","state":"fault"},{"id":"a","state":"accepted"},{"id":"c","state":"deferred"},)"
        R"({"id":"d","state":"expired"},{"id":"e","state":"no_more"}])";
    auto all = readAnswer(response("HTTP/1.1 200 OK\r\n\r\n"), body, several, {});
    REQUIRE(all);
    CHECK(all->verdicts == std::vector<Verdict>{Verdict::delivered, Verdict::error, Verdict::turnedAway,
                                                Verdict::over, Verdict::notSent, Verdict::error});
    CHECK_FALSE(readAnswer(response("HTTP/1.1 200 OK\r\n\r\n"), body.substr(1), several, {}));
}

TEST_CASE("only ends that may have run are told as such") {
    auto end = [](Ending e, Verdict v = Verdict::error) { return outcomeOf(e, v).end; };
    for (Ending e : {Ending::refused, Ending::neverUp, Ending::brokeBeforeSent, Ending::timedOutUnsent}) {
        CHECK(end(e) == SubmitStatus::unreachable);
    }
    CHECK(end(Ending::noMeans) == SubmitStatus::notSent);
    CHECK(end(Ending::cancelledUnsent) == SubmitStatus::notSent);
    CHECK(end(Ending::brokeAfterSent) == SubmitStatus::reset);
    CHECK(end(Ending::oddAnswer) == SubmitStatus::error);
    for (Verdict v : {Verdict::turnedAway, Verdict::notSent, Verdict::over, Verdict::error}) {
        CHECK(end(Ending::halfAnswered, v) == SubmitStatus::error);
    }
    CHECK(end(Ending::timedOut) == SubmitStatus::timeout);
    CHECK(end(Ending::cancelled) == SubmitStatus::cancelled);
    CHECK(end(Ending::halfAnswered, Verdict::delivered) == SubmitStatus::delivered);
    CHECK(outcomeOf(Ending::answered, Verdict::over).over);
}

TEST_CASE("a call to several is JSON within its bound; notices are a line each") {
    auto two = parcels({"a", "b"});
    std::string call = writeCall("h", two, Span::millis(1500));
    CHECK(call.find("POST /events/bundle HTTP/1.1\r\n") == 0);
    CHECK(call.find("[{\"id\":\"a\",\"body\":\"Yg==\"},{\"id\":\"b\",\"body\":\"Yg==\"}]") !=
          std::string::npos);
    CHECK(2 + bundledSize(two[0]) + bundledSize(two[1]) >= call.size() - call.find("\r\n\r\n") - 4);
    CHECK(writeNotices("h", {{"a", false, Span()}, {"b", true, Span::millis(500)}})
              .find("{\"ref\":\"a\",\"result\":\"dead\"}\n{\"ref\":\"b\",\"result\":\"bounced\",\"wait_ms\":"
                    "500}\n") != std::string::npos);
    std::vector<Parcel> marked = {{"a", "m", two[0].body}, {"b", "", two[0].body}};
    CHECK(writeCall("h", marked, Span()).find("[{\"id\":\"a\",\"key\":\"m\",\"body\"") != std::string::npos);
    marked.pop_back();
    CHECK(writeCall("h", marked, Span()).find("Idempotency-Key: m\r\n") != std::string::npos);
    CHECK(retryAfter(Span::millis(1050)) == "1.050");
}

TEST_CASE("settings read the same from JSON as from the simulator's wire") {
    auto value = json::parse(
        R"({"kinds":["a b","c"],"lanes":[{"name":"x","aim":5}],"limits":{"cancel":true},"e":[]})");
    Settings set;
    flatten(*value, set);
    CHECK(set.text("kinds") == "a_b,c");
    CHECK(set.integer("lanes.count") == 1);
    CHECK(set.integer("lanes.0.aim") == 5);
    CHECK(set.flag("limits.cancel"));
    CHECK(set.list("e").empty());
}

TEST_CASE("parsers take any bytes without harm, and whole messages broken anywhere") {
    std::mt19937 chance(GENERATE(take(3, random(1, 1'000'000))));
    const std::string seeds[] = {
        Program::request("a", "status", 7, 100, "x"),
        ok("[{\"id\":\"a\",\"state\":\"accepted\"}]", "Wait-Ms: 5\r\n"),
        "{\"revision\":4,\"complete\":true,\"members\":[" + member("e", "1.2.3.4:5", 1) + "]}"};
    size_t read = 0;
    for (int i = 0; i < 6000; ++i) {
        std::string bytes = seeds[chance() % 3];
        for (uint32_t n = chance() % 6; n > 0; --n) {
            size_t at = chance() % bytes.size();
            if (chance() % 4 == 0) bytes = bytes.substr(0, at + 1);
            bytes[at % bytes.size()] = static_cast<char>(chance());
        }
        http::Head request, answer;
        std::optional<size_t> length;
        if (http::parseRequest(bytes, request) == http::Fault::none) read += readHanded(request).has_value();
        if (http::parseResponse(bytes, answer) == http::Fault::none) {
            http::bodyLength(answer, length);
            read += readAnswer(answer, bytes, parcels({"a", "b"}), {"x1", "x0"}).has_value();
        }
        http::headEnd(bytes);
        std::string body;
        size_t taken = 0;
        http::unchunk(bytes, body, taken);
        http::firstLineStatus(bytes);
        read += readMembers(bytes).has_value();
        if (auto parsed = json::parse(bytes)) {
            Settings set;
            flatten(*parsed, set);
        }
    }
    CHECK(read > 500);
    CHECK(read < 6000);
}

TEST_CASE("a full mailbox says so; what must not be lost goes in all the same; buffers come back") {
    Mailbox<int> box(2);
    CHECK(box.post(1));
    CHECK(box.post(2));
    CHECK_FALSE(box.post(3));
    box.postHeld(4);
    CHECK(box.drain(steadyNow()) == std::deque<int>{1, 2, 4});
    CHECK(box.drain(steadyNow() + Span::millis(5)).empty());
    Buffers buffers(1);
    {
        auto lease = buffers.lease();
        CHECK(lease);
        CHECK_FALSE(buffers.lease());
    }
    CHECK(buffers.lease());
}
