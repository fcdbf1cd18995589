// Calls to one HTTP server, as the platform: a few connections that are kept, each call with its own time.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "system/network/http_answer.hpp"
#include "system/network/stream.hpp"

namespace petrelpond::network {

class HttpCaller {
  public:
    // status 0: no answer in time or a broken connection; the call may have been carried out all the same.
    using Done = std::function<void(int status, const std::string& body)>;
    HttpCaller(Loop&, Address, size_t connections, Span time);
    ~HttpCaller();
    void call(std::string_view method, std::string_view target, std::string_view fields, std::string body,
              Done done);
    size_t waiting() const { return queue_.size(); }
    void drop();  // forgets what waits and what is out; nobody is told

  private:
    struct Job {
        std::string bytes;
        Done done;
        Instant until;
    };
    struct Line;
    void start();
    void end(Line&, int status, const std::string& body);
    Loop& loop_;
    Address to_;
    size_t most_;
    Span time_;
    std::deque<Job> queue_;
    std::set<std::unique_ptr<Line>> lines_;
};

}  // namespace petrelpond::network
