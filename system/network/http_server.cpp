#include "system/network/http_server.hpp"

#include <cerrno>
#include <utility>

namespace petrelpond::network {

namespace {
constexpr size_t kMostFields = 512;  // of a request; the bound on a head's bytes is the one that counts
constexpr std::string_view kAnswerStart = "HTTP/1.1 ";  // of every answer
}  // namespace

HttpVisit::HttpVisit(Loop& loop, HttpHost& host, int fd, uint64_t id)
    : loop_(loop), host_(host), id_(id), since_(loop.now()),
      stream_(Stream::adopt(loop, *this, fd, Span::seconds(10))) {
    stream_->keepAtEnd();
}

HttpVisit::~HttpVisit() { loop_.cancel(peerCheckTimer_); }

void HttpVisit::data(Stream&) {
    if (closing_) {  // what nobody wants is read off, so that the close does not reset the answer away
        stream_->in().clear();
        return;
    }
    if (busy_) {
        if (stream_->in().size() > 65536) stream_->pauseReading(true);
        return;
    }
    if (!begun_) begun_ = true, since_ = loop_.now();
    parse();
}

void HttpVisit::refuse(int status) {
    busy_ = true, closing_ = true;
    answer(status, "", "", true);
}

void HttpVisit::parse() {
    const HttpLimits& limits = host_.limits();
    std::string& in = stream_->in();
    if (headLength_ == 0) {
        size_t skip = 0;  // blank lines before a request are nothing
        while (skip < in.size() && (in[skip] == '\r' || in[skip] == '\n')) ++skip;
        if (skip > 0) in.erase(0, skip);
        auto end = http::headEnd(in);
        if (!end && in.size() <= limits.headerBytes) return;
        if (!end || *end > limits.headerBytes) return refuse(431);
        http::Head head;
        http::Fault fault =
            http::parseRequest(std::string_view(in).substr(0, *end), head, limits.headerBytes, kMostFields);
        if (fault != http::Fault::none) return refuse(fault == http::Fault::headTooLong ? 431 : 400);
        int hosts = 0, codings = 0, lengths = 0;
        for (const auto& [name, value] : head.fields) {
            hosts += http::sameName(name, "Host"), codings += http::sameName(name, "Transfer-Encoding");
            lengths += http::sameName(name, "Content-Length");
        }
        if (hosts > 1 || codings > 1 || (codings > 0 && lengths > 0)) return refuse(400);
        chunked_ = codings > 0;
        bodyLength_ = 0;
        if (chunked_) {
            if (!http::sameName(*head.field("Transfer-Encoding"), "chunked")) return refuse(400);
        } else {
            std::optional<size_t> length;
            fault = http::bodyLength(head, length, limits.bodyBytes);
            if (fault != http::Fault::none) return refuse(fault == http::Fault::bodyTooLong ? 413 : 400);
            bodyLength_ = length.value_or(0);
        }
        headLength_ = *end;
        if (auto expect = head.field("Expect"); expect && http::sameName(*expect, "100-continue") &&
                                                in.size() == headLength_ && (chunked_ || bodyLength_ > 0))
            stream_->send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    HttpRequest request;
    size_t taken = 0;
    if (chunked_) {
        auto rest = std::string_view(in).substr(headLength_);
        http::Chunks found = http::unchunk(rest, request.body, taken, limits.bodyBytes);
        if (found == http::Chunks::tooLong) return refuse(413);
        if (found == http::Chunks::malformed) return refuse(400);
        if (found == http::Chunks::incomplete) {
            if (rest.size() > 2 * limits.bodyBytes + 65536) return refuse(413);
            return;
        }
    } else {
        if (in.size() < headLength_ + bodyLength_) return;
        request.body = in.substr(headLength_, bodyLength_);
        taken = bodyLength_;
    }
    request.raw = in.substr(0, headLength_);
    http::parseRequest(request.raw, request.head, limits.headerBytes, kMostFields);
    request.cameAt = since_;
    in.erase(0, headLength_ + taken);
    headLength_ = 0, busy_ = true, begun_ = false;
    lastAsked_ = request.head.closes(), toHead_ = request.method() == "HEAD";
    host_.asked(*this, std::move(request));
}

void HttpVisit::answer(int status, std::string_view fields, std::string_view body, bool last) {
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + http::reason(status) + "\r\n";
    head.append(fields);
    head.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    if (last || lastAsked_) head.append("Connection: close\r\n");
    head.append("\r\n");
    answerAsIs(head, toHead_ ? "" : body, last);  // to a HEAD the length is told and the body left out
}

void HttpVisit::answerAsIs(std::string_view head, std::string_view body, bool last) {
    if (stream_->isClosed()) return;
    if (std::exchange(isAnswerBegun_, false)) head.remove_prefix(kAnswerStart.size());
    loop_.cancel(peerCheckTimer_);
    std::string whole;
    whole.reserve(head.size() + body.size());
    whole.append(head).append(body);
    stream_->send(whole);
    done(last || lastAsked_ || (hungUp_ && stream_->in().empty()));
}

void HttpVisit::checkPeer(Span patience) {
    if (!busy_ || isAnswerBegun_ || stream_->isClosed()) return;
    isAnswerBegun_ = true;
    stream_->send(kAnswerStart);
    peerCheckTimer_ = loop_.at(loop_.now() + patience, [this] { onPeerCheckTimeout(); });
}

void HttpVisit::onPeerCheckTimeout() {
    peerCheckTimer_ = 0;
    if (!busy_ || stream_->isClosed() || stream_->unacknowledged() == 0u) return;
    stream_->close();
    host_.left(*this);
}

void HttpVisit::done(bool last) {
    busy_ = false, since_ = loop_.now();
    if (last) {
        closing_ = true;
        stream_->finishWriting();  // the peer closes, or look() ends it
        stream_->in().clear();
        // What the answer has still to send goes first; written() ends the visit then.
        if (hungUp_ && stream_->unsent() == 0) loop_.soon([this] { host_.left(*this); });
        return;
    }
    if (!hungUp_) stream_->pauseReading(false);
    if (!stream_->in().empty()) {  // the next one came already
        begun_ = true;
        loop_.soon([this] {
            if (busy_ || closing_ || stream_->isClosed()) return;
            parse();
            // It has ended its sending: what is not whole by now never will be.
            if (hungUp_ && !busy_ && !closing_) done(true);
        });
    }
}

void HttpVisit::closeWhenIdle(Span least) {
    if (busy_ || closing_ || begun_ || loop_.now() - since_ < least) return;
    // Whole, and not for writing alone: a request that crosses with the close must stay unread, so that its
    // client may send it elsewhere. Read off and dropped, it was lost (a change of configuration, an idle
    // time that ended).
    closing_ = true;
    stream_->close();
    loop_.soon([this] { host_.left(*this); });
}

void HttpVisit::look() {
    if (stream_->isClosed() || busy_) return;
    Span lasts = loop_.now() - since_;
    if (closing_) {
        // A long answer on a narrow link takes its time; one that does not read it has as much as an idle
        // one.
        const Span most = stream_->unsent() > 0 ? host_.limits().idleTimeout : Span::seconds(1);
        if (lasts > most) stream_->close(), host_.left(*this);
    } else if (begun_) {
        if (lasts > host_.limits().headerTimeout) refuse(408);
    } else if (lasts > host_.limits().idleTimeout) {
        closeWhenIdle();
    }
}

void HttpVisit::ended(Stream&, int error) {
    // It may have ended its sending alone, and still read what it is owed. Against a long answer that was cut
    // where the client had half-closed. Harm: one that is gone holds its bytes until its reset comes.
    const bool owed = busy_ || stream_->unsent() > 0;
    if (error == 0 && owed && !hungUp_) {
        hungUp_ = true;
        if (busy_) host_.hungUp(*this);
        return;
    }
    stream_->close();
    host_.left(*this);
}

void HttpVisit::written(Stream&) {
    if (!hungUp_ || busy_) return;
    if (closing_) return host_.left(*this);
    if (stream_->in().empty()) done(true);
}

}  // namespace petrelpond::network
