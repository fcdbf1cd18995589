#include "system/cli/courier.hpp"

#include <cstdio>
#include <cstring>
#include <memory>

#include "system/network/http_answer.hpp"
#include "system/network/link.hpp"
#include "system/network/loop.hpp"

namespace petrelpond::cli {

namespace {

constexpr size_t kMostBody = network::kMostConfiguration + (1u << 20);  // bytes; with a head

// One question on a connection of its own: operators ask seldom, and a fresh connection is never one that the
// other side has just closed.
class Call final : public network::StreamOwner {
  public:
    Call(network::Loop& loop, const Question& q, Reply& reply, size_t& open)
        : loop_(loop), reply_(reply), open_(open) {
        stream_ = network::Stream::connect(loop, *this, q.to, Span());
        if (!stream_) {
            fail("no connection could be begun");
            return;
        }
        std::string bytes =
            q.method + " " + q.target + " HTTP/1.1\r\nHost: " + q.to.text() + "\r\nConnection: close\r\n";
        if (!q.body.empty() || q.method != "GET")
            bytes +=
                "Content-Type: application/json\r\nContent-Length: " + std::to_string(q.body.size()) + "\r\n";
        stream_->send(bytes + "\r\n" + q.body);
        char why[48];
        std::snprintf(why, sizeof why, "no answer within %.2g s", q.operationTimeout.inSeconds());
        timer_ = loop.at(network::Loop::clock() + q.operationTimeout,
                         [this, said = std::string(why)] { fail(said); });
    }

    void data(network::Stream&) override { take(); }
    void ended(network::Stream&, int error) override {
        fail(error == 0 ? "the connection ended before a whole answer" : std::strerror(error));
    }

  private:
    void take() {
        if (done_) return;
        network::HttpAnswer answer;
        network::Reading how = network::takeAnswer(stream_->in(), false, kMostBody, answer);
        if (how == network::Reading::incomplete) return;
        if (how == network::Reading::malformed) return fail("the answer can't be read");
        reply_.status = answer.status, reply_.body = std::move(answer.body);
        if (auto location = answer.head.field("Location")) reply_.location = *location;
        finish();
    }
    void fail(const std::string& why) {
        if (done_) return;
        reply_.why = why;
        finish();
    }
    void finish() {
        done_ = true;
        if (timer_ != 0) loop_.cancel(timer_);
        if (stream_) stream_->close();
        if (--open_ == 0) loop_.stop();
    }

    network::Loop& loop_;
    Reply& reply_;
    size_t& open_;
    std::unique_ptr<network::Stream> stream_;
    network::TimerId timer_ = 0;
    bool done_ = false;
};

}  // namespace

std::vector<Reply> ask(const std::vector<Question>& questions) {
    std::vector<Reply> replies(questions.size());
    if (questions.empty()) return replies;
    network::Loop loop;
    std::vector<std::unique_ptr<Call>> calls;
    size_t open = questions.size();
    for (size_t i = 0; i < questions.size(); ++i)
        calls.push_back(std::make_unique<Call>(loop, questions[i], replies[i], open));
    loop.run();
    return replies;
}

}  // namespace petrelpond::cli
