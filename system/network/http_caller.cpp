#include "system/network/http_caller.hpp"

namespace petrelpond::network {

struct HttpCaller::Line final : StreamOwner {
    HttpCaller& of;
    std::unique_ptr<Stream> stream;
    std::optional<Job> job;
    TimerId timer = 0;
    explicit Line(HttpCaller& c) : of(c) {}
    void data(Stream& s) override {
        if (!job) return of.end(*this, -1, "");  // bytes that nobody asked for end the connection
        HttpAnswer answer;
        switch (takeAnswer(s.in(), false, 8u << 20, answer)) {
            case Reading::incomplete:
                return;
            case Reading::malformed:
                return of.end(*this, 0, "");
            case Reading::whole: {
                Done done = std::move(job->done);
                job.reset();
                of.loop_.cancel(timer);
                if (answer.closes || !s.in().empty()) of.end(*this, -1, "");
                done(answer.status, answer.body);
                of.start();
            }
        }
    }
    void ended(Stream&, int) override { of.end(*this, 0, ""); }
};

HttpCaller::HttpCaller(Loop& loop, Address to, size_t connections, Span time)
    : loop_(loop), to_(to), most_(connections), time_(time) {}

HttpCaller::~HttpCaller() { drop(); }

void HttpCaller::drop() {
    queue_.clear();
    while (!lines_.empty()) {
        auto line = std::move(lines_.extract(lines_.begin()).value());
        loop_.cancel(line->timer);
        line->stream->close();
        loop_.bury(std::move(line));
    }
}

void HttpCaller::call(std::string_view method, std::string_view target, std::string_view fields,
                      std::string body, Done done) {
    std::string bytes;
    bytes.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(to_.text());
    bytes.append("\r\n").append(fields);
    if (!body.empty()) bytes.append("Content-Type: application/json\r\n");
    if (!body.empty() || method != "GET")
        bytes.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    bytes.append("\r\n").append(body);
    queue_.push_back({std::move(bytes), std::move(done), loop_.now() + time_});
    start();
}

void HttpCaller::start() {
    while (!queue_.empty()) {
        Line* free = nullptr;
        for (const auto& line : lines_)
            if (!line->job) free = line.get();
        if (!free && lines_.size() >= most_) return;
        if (!free) {
            auto line = std::make_unique<Line>(*this);
            line->stream = Stream::connect(loop_, *line, to_, time_);
            if (!line->stream) {
                Job job = std::move(queue_.front());
                queue_.pop_front();
                loop_.soon([done = std::move(job.done)] { done(0, ""); });
                continue;
            }
            free = line.get();
            lines_.insert(std::move(line));
        }
        free->job = std::move(queue_.front());
        queue_.pop_front();
        free->stream->send(free->job->bytes);
        free->timer = loop_.at(loop_.now() + time_, [this, free] { end(*free, 0, ""); });
    }
}

void HttpCaller::end(Line& line, int status, const std::string& body) {
    loop_.cancel(line.timer);
    for (auto at = lines_.begin(); at != lines_.end(); ++at) {
        if (at->get() != &line) continue;
        auto own = std::move(lines_.extract(at).value());
        own->stream->close();
        Done done = own->job ? std::move(own->job->done) : Done();
        loop_.bury(std::move(own));
        if (done && status >= 0) done(status, body);
        if (status >= 0) start();
        return;
    }
}

}  // namespace petrelpond::network
