// The crew's core in random schedules; and cores broken on purpose, which the same search must find.
#include <catch2/catch.hpp>

#include "fleet/crew_search.hpp"
#include "src/crew/members.hpp"

using namespace petrelpond;
using namespace petrelpond::fleet;

namespace {

struct Broken {
    explicit Broken(crew::Defect which) { crew::defect = which; }
    ~Broken() { crew::defect = crew::Defect::none; }
};

}  // namespace

TEST_CASE("a million steps of random schedules: views go forward, nobody who answers is dead to most, all agree") {
    CrewSearch search;
    CrewFindings found = searchCrew(search);
    for (const std::string& v : found.violations) FAIL_CHECK(v);
    CHECK(found.steps >= search.steps);
    INFO("schedules " << found.schedules);
    CHECK(found.schedules > 50);
}

TEST_CASE("three broken cores are found") {
    CrewSearch search;
    search.findings = 1, search.steps = 400000;
    for (crew::Defect which : {crew::Defect::incarnationIgnored, crew::Defect::doubtNeverEnds, crew::Defect::leaveUndone}) {
        Broken broken(which);
        CrewFindings found = searchCrew(search);
        INFO("defect " << static_cast<int>(which) << " after " << found.schedules << " schedules");
        CHECK(found.violations.size() == 1);
    }
}
