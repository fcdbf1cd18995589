#include "system/control_plane/report_backlog.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace petrelpond::control_plane {
namespace {

// However many reports arrive at once, a turn is bounded, and none is lost or reordered.
TEST(ReportBacklog, ACrowdIsTakenAFewATurnAndInOrder) {
    ReportBacklog b;
    for (uint64_t i = 0; i < 1000; ++i) b.push(Instant::atMicros(int64_t(i)), i % 60, std::to_string(i));
    EXPECT_EQ(b.oldestAge(Instant::atMicros(5000)), Span::micros(5000));
    std::vector<std::string> seen;
    size_t turns = 0;
    for (; !b.empty(); ++turns) {
        size_t before = seen.size();
        b.processTurn([&](uint64_t link, const std::string& text) {
            EXPECT_EQ(link, seen.size() % 60);
            seen.push_back(text);
            if (text == "7")
                b.push(Instant::atMicros(1000), 1000 % 60, "1000");  // a report that arrives meanwhile
        });
        ASSERT_GT(seen.size(), before);
        ASSERT_LE(seen.size() - before, ReportBacklog::kMaxPerTurn);
    }
    ASSERT_EQ(seen.size(), 1001u);
    for (size_t i = 0; i < seen.size(); ++i) EXPECT_EQ(seen[i], std::to_string(i));
    EXPECT_EQ(b.oldestAge(Instant::atMicros(5000)), Span());
    EXPECT_EQ(turns, 1001 / ReportBacklog::kMaxPerTurn + 1);
}

}  // namespace
}  // namespace petrelpond::control_plane
