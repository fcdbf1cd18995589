#include "system/proxy/answer_reading.hpp"

namespace petrelpond::proxy {

using network::HttpAnswer;
using network::Reading;

namespace {

// An instance closes a connection that rests for so long as it told; what is sent in the last part of that
// may cross the close.
const Span kKeepAliveMargin = Span::millis(300);

std::optional<Span> keepAliveOf(const http::Head& head) {
    const auto field = head.field("Keep-Alive");
    if (!field) return {};
    const size_t at = field->find("timeout=");
    if (at == std::string_view::npos) return {};
    std::string_view digits = field->substr(at + 8);
    digits = digits.substr(0, digits.find_first_not_of("0123456789"));
    const auto seconds = http::wholeNumber(digits);
    if (!seconds) return {};
    return std::max(Span(), Span::seconds(static_cast<double>(*seconds)) - kKeepAliveMargin);
}

}  // namespace

Ending AnswerReading::classify(const HttpAnswer& answer, const Expected& expected) const {
    const int status = answer.status;
    const bool refuses = status == 429 || status == 503 || status == 408;
    // Without its id it may be the answer to another request, and its promise that one's: ours may run.
    if (!answer.head.field("X-Attempt-Id") && defect_ != ReadingDefect::trustsEveryId) return Ending::broken;
    if (status == 421) return Ending::misdirected;
    if (answer.head.field("X-Not-Executed")) return Ending::notRun;
    if (refuses && defect_ == ReadingDefect::believesEveryRefusal) return Ending::notRun;
    if (status >= 200 && status < 300) {
        const bool whole = answer.head.field("X-Endpoint-Seal") && !answer.head.field("Content-Encoding");
        return whole ? Ending::passed : Ending::broken;  // else not the endpoint's body
    }
    // Without the word that it has not run these may have: passed on to who may send it but once they would
    // promise what nobody knows.
    if (refuses && !expected.repeatable) return Ending::broken;
    if (status >= 500 || refuses) return Ending::failed;
    return Ending::passed;
}

std::optional<Conclusion> AnswerReading::read(std::string& in, bool ended, const Expected& expected) {
    while (true) {
        Conclusion out;
        auto answer = std::make_unique<HttpAnswer>();
        Reading reading = network::takeAnswer(in, ended, mostBody_, *answer, expected.toHead);
        if (reading == Reading::malformed && ended && defect_ == ReadingDefect::takesCutAnswers &&
            http::headEnd(in)) {
            answer->raw = in.substr(0, *http::headEnd(in));
            http::parseResponse(answer->raw, answer->head);
            answer->body = in.substr(answer->raw.size());
            answer->status = answer->head.status();
            in.clear();
            reading = Reading::whole;
        }
        if (reading == Reading::incomplete) return {};
        if (reading == Reading::malformed) {
            in.clear();
            spoilt_ = out.spoilt = true;
            return out;
        }
        const auto id = answer->head.field("X-Attempt-Id");
        if (id && *id != expected.attemptId && defect_ != ReadingDefect::trustsEveryId) {
            // An answer in excess, to an earlier request, in the place of this one's: it belongs to nobody.
            // Ours is still to come; the connection ends behind it.
            ++excess_;
            spoilt_ = true;
            if (!in.empty()) continue;
            if (!ended) return {};
            out.spoilt = true;
            return out;
        }
        out.how = classify(*answer, expected);
        out.spoilt = out.how == Ending::broken;
        if (!in.empty()) {
            ++excess_;
            spoilt_ = true;
        }
        const bool clean = !spoilt_ || defect_ == ReadingDefect::keepsAfterExcess;
        out.keep = clean && !answer->closes && !ended && out.how != Ending::broken;
        out.keepAlive = keepAliveOf(answer->head);
        out.answer = std::move(answer);
        return out;
    }
}

}  // namespace petrelpond::proxy
