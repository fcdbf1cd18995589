#include "system/cli/errand.hpp"

#include <gtest/gtest.h>

namespace petrelpond::cli {
namespace {

const network::Address kA = *network::Address::parse("10.0.0.1:80"),
                       kB = *network::Address::parse("10.0.0.2:80");

TEST(Errand, EndsAtOnceOnClearAnswers) {
    for (int status : {200, 204}) EXPECT_EQ(Errand({kA}, "/c").answered(status, "").next, Errand::Next::done);
    for (int status : {400, 409, 412, 413, 422})
        EXPECT_EQ(Errand({kA, kB}, "/c").answered(status, "").next, Errand::Next::refused) << status;
    EXPECT_EQ(Errand({kA}, "/c", {404}).answered(404, "").next, Errand::Next::refused);
}

TEST(Errand, MovesOnWithPausesThatGrowToABound) {
    Errand e({kA, kB}, "/c");
    Span last;
    int tries = 0;
    for (int status : {0, 500, 503, 408, 429, 502, 0, 503}) {
        EXPECT_EQ(e.to(), ++tries % 2 == 1 ? kA : kB);
        auto verdict = e.answered(status, "");
        ASSERT_EQ(verdict.next, Errand::Next::again) << status;
        EXPECT_GE(verdict.pause, last);
        EXPECT_GT(verdict.pause, Span());
        EXPECT_LE(verdict.pause, Span::seconds(2));
        last = verdict.pause;
    }
    EXPECT_EQ(last, Span::seconds(2));
}

TEST(Errand, OtherRefusalsEndItAtTheThird) {
    Errand e({kA, kB}, "/c");
    EXPECT_EQ(e.answered(404, "").next, Errand::Next::again);
    EXPECT_EQ(e.answered(503, "").next, Errand::Next::again);
    EXPECT_EQ(e.answered(405, "").next, Errand::Next::again);
    EXPECT_EQ(e.answered(404, "").next, Errand::Next::refused);
}

TEST(Errand, FollowsTwiceAndThenMovesOn) {
    Errand e({kA, kB}, "/c");
    auto v = e.answered(307, "http://10.0.0.9:81/x");
    EXPECT_EQ(v.next, Errand::Next::again);
    EXPECT_EQ(v.pause, Span());
    EXPECT_EQ(e.to().text(), "10.0.0.9:81");
    EXPECT_EQ(e.target(), "/x");
    EXPECT_EQ(e.answered(307, "/y").next, Errand::Next::again);  // the same core, another path
    EXPECT_EQ(e.to().text(), "10.0.0.9:81");
    EXPECT_EQ(e.target(), "/y");
    v = e.answered(307, "http://10.0.0.9:81/x");  // a ring
    EXPECT_GT(v.pause, Span());
    EXPECT_EQ(e.to(), kB);
    EXPECT_EQ(e.target(), "/c");
    EXPECT_EQ(e.answered(307, "http://10.0.0.9:81/x").next, Errand::Next::again);  // counted anew
    EXPECT_EQ(e.to().text(), "10.0.0.9:81");
}

TEST(Errand, PlacesThatCannotBeGoneToAreFailures) {
    for (const char* odd : {"", "https://10.0.0.9:81/x", "http://core.example:81/x", "http://10.0.0.9:0/x",
                            "http://10.0.0.9:81/x y", "x", "/x\r\nHost: z"}) {
        Errand e({kA, kB}, "/c");
        EXPECT_GT(e.answered(307, odd).pause, Span()) << odd;
        EXPECT_EQ(e.to(), kB) << odd;
    }
}

}  // namespace
}  // namespace petrelpond::cli
