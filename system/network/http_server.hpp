// One connection of a client, an operator or the platform's readiness check: requests in, answers out, one at
// a time. Heads and bodies are bounded; what can't be told apart for certain is refused and the connection
// ends, so that nothing is smuggled inside another request.
#pragma once

#include <memory>
#include <string>

#include "src/protocol/http.hpp"
#include "system/network/stream.hpp"

namespace petrelpond::network {

struct HttpRequest {
    std::string raw;   // the head as it came; `head` points into it
    http::Head head;   // first: method, second: target
    std::string body;  // without its framing
    Instant cameAt;    // when its first bytes were read
    std::string_view method() const { return head.first; }
    std::string_view target() const { return head.second; }
};

struct HttpLimits {
    size_t headerBytes = 16384, bodyBytes = 262144;
    Span headerTimeout = Span::seconds(3), idleTimeout = Span::seconds(15);
};

class HttpVisit;

class HttpHost {
  public:
    virtual ~HttpHost() = default;
    virtual void asked(HttpVisit&, HttpRequest&&) = 0;
    virtual void left(HttpVisit&) = 0;  // its connection is over; the host forgets (and buries) it
    // It sends no more while its request is under way: it has disconnected, or it only ended its sending and
    // waits for the answer. HttpVisit::checkPeer() tells which.
    virtual void hungUp(HttpVisit&) {}
    virtual const HttpLimits& limits() const = 0;
};

class HttpVisit final : public StreamOwner {
  public:
    HttpVisit(Loop&, HttpHost&, int fd, uint64_t id);
    ~HttpVisit() override;
    uint64_t id() const { return id_; }
    bool busy() const { return busy_; }
    // Whether bytes of an answer have not gone to the kernel yet: they are lost if the process ends.
    bool hasUnsentAnswer() const { return stream_->unsent() > 0; }
    bool mayAnswer() const { return busy_ && !stream_->isClosed(); }
    // `fields` are whole lines, each with its CR LF. last: this connection ends after it.
    void answer(int status, std::string_view fields, std::string_view body, bool last = false);
    void answerAsIs(std::string_view head, std::string_view body, bool last);  // head with its blank line
    // Finds out whether a client that has ended its sending still reads: sends the first bytes that every
    // answer has. A connection that was closed answers with a reset; a client that waits acknowledges them
    // and takes them for the beginning of its answer. If neither comes within `patience`, or the kernel does
    // not tell, the client counts as disconnected. HttpHost::left() follows for one that has disconnected.
    void checkPeer(Span patience);
    // Where nothing is under way, nothing has come, and that for so long: one just opened is about to ask.
    void closeWhenIdle(Span least = Span());
    void look();  // time bounds; called some times a second
    bool wantsClose() const { return lastAsked_; }
    uint64_t tag = 0;  // the host's

    void data(Stream&) override;
    void ended(Stream&, int error) override;
    void written(Stream&) override;

  private:
    void parse();
    void refuse(int status);
    void done(bool last);
    void onPeerCheckTimeout();
    Loop& loop_;
    HttpHost& host_;
    uint64_t id_;
    bool busy_ = false, closing_ = false, lastAsked_ = false, hungUp_ = false, toHead_ = false;
    size_t headLength_ = 0;
    bool chunked_ = false;
    size_t bodyLength_ = 0;
    Instant since_;               // of the state it is in: idle, or a request begun
    bool begun_ = false;          // some bytes of a request have come
    bool isAnswerBegun_ = false;  // checkPeer() has sent the first bytes of the answer
    TimerId peerCheckTimer_ = 0;
    std::unique_ptr<Stream> stream_;
};

}  // namespace petrelpond::network
