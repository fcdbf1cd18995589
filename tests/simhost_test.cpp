#include <catch2/catch.hpp>
#include <sstream>

#include "simhost/host.hpp"

using namespace petrelpond;

namespace {

const char* kOpen =
    "OPEN_INSTANCE who=3 entropy=5 balancers=2 lanes.count=1 lanes.0.aim=2000000 lanes.0.deadline=9000000 "
    "lanes.0.effect=read_like lanes.0.name=status lanes.0.worth=1.0 new.setting=x,y kinds=plain "
    "domain.maxCalls=4 resolution=5000 realms=\n"
    "SHEET rosterId=0 rowsIn=1\n"
    "M endpoint=10.0.0.1:80 site=a model=plain dest=7 condition=active weight=1 colour=red\n"
    "FLEET who=3 scope=Persisted epoch=1 rosterId=0\n";

struct Run {
    std::string out, errors;
    int code;
};

Run serveAll(const std::string& lines) {
    std::istringstream in(lines);
    std::ostringstream out, errors;
    int code = serve(in, out, errors);
    return {out.str(), errors.str(), code};
}

std::string batch(const std::string& events) { return "CLOCK moment=1000000\n" + events + "GO\n"; }

const char* kArrival =
    "ARRIVAL who=3 rid=00000000000000aa flags=0 deadline=9000000 priority=status destNo=7\n";

}  // namespace

TEST_CASE("a text is sent under its own id and endpoint; unknown settings and fields are ignored") {
    CHECK(serveAll("CLOCK moment=1\nGO\n").out == "OK\n");
    Run run = serveAll(batch(std::string(kOpen) + kArrival));
    CHECK(run.code == 0);
    CHECK(run.out.find("SEND who=3 rid=00000000000000aa endpoint=10.0.0.1:80") != std::string::npos);
}

TEST_CASE("a sender killed and opened again in one batch starts with no state") {
    Run run = serveAll(batch(std::string(kOpen) + kArrival + "KILL who=3\n" + kOpen));
    CHECK(run.out.find("SEND") == std::string::npos);
    CHECK(run.code == 0);
}

TEST_CASE("list numbers are resolved in the order of events") {
    Run run = serveAll(batch(std::string(kOpen) +
                             "SHEET rosterId=0 rowsIn=1\nM endpoint=10.0.0.2:80 dest=7 condition=active\n"
                             "FLEET who=3 scope=Complete epoch=2 rosterId=0\n" +
                             kArrival));
    CHECK(run.out.find("endpoint=10.0.0.2:80") != std::string::npos);
}

TEST_CASE("a malformed line ends the program with an error that has the line number") {
    std::string bad = GENERATE("HELLO\n", "CLOCK\n", "CLOCK moment=x\n", "CLOCK moment=1\nARRIVAL who\n",
                               "CLOCK moment=1\nSHEET rosterId=99 rowsIn=0\n", "CLOCK moment=1\n\n");
    Run run = serveAll(bad);
    CHECK(run.code == 2);
    CHECK(run.errors.find("line " + std::to_string(std::count(bad.begin(), bad.end(), '\n'))) !=
          std::string::npos);
}

TEST_CASE("unknown products and texts are reported, and the rest is processed") {
    Run run =
        serveAll(batch(std::string(kOpen) +
                       "ARRIVAL who=3 rid=00000000000000bb flags=0 deadline=9000000 priority=odd destNo=7\n"
                       "CLOSED_ATTEMPT who=3 rid=00000000000000cc trial=0 endpoint=10.0.0.9:80 code=OK\n" +
                       kArrival));
    CHECK(run.code == 0);
    CHECK(run.errors.find("unknown product") != std::string::npos);
    CHECK(run.errors.find("unknown text") != std::string::npos);
    CHECK(run.out.find("REFUSE who=3 rid=00000000000000bb") != std::string::npos);
    CHECK(run.out.find("SEND who=3 rid=00000000000000aa") != std::string::npos);
}

namespace {

struct Broken : Sender {
    void onArrival(Instant, const Arrival&) override { throw std::runtime_error("index out of range"); }
    void onSubmitResult(Instant, const SubmitResult&) override {}
    void onWithdrawn(Instant, TextIndex) override {}
    void onEndpointList(Instant, ListScope, const std::vector<ListEntry>&) override {}
    void onEndpointListFailed(Instant) override {}
    std::optional<Decision> nextDecision(Instant) override { return std::nullopt; }
};

struct BrokenHost : Host {
    using Host::Host;
    std::unique_ptr<Sender> wrapSender(std::unique_ptr<Sender>) override { return std::make_unique<Broken>(); }
};

}  // namespace

TEST_CASE("an exception in a sender is reported as GIVE_IN with its text") {
    std::ostringstream out, errors;
    BrokenHost host(out, errors);
    std::istringstream lines(batch(std::string(kOpen) + kArrival));
    for (std::string line; std::getline(lines, line);) host.handleLine(line);
    CHECK(out.str() == "GIVE_IN who=3 what=index out of range\nOK\n");
}
