// The generations of a sender's store on the disk, and the file in which one process hands over to the next. What
// is done with them is decided in succession/succession.hpp.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "src/succession/succession.hpp"

namespace petrelpond::generations {

std::string folderOf(const std::string& state, succession::Number number);
std::vector<succession::Found> found(const std::string& state);  // the state folder itself is always one
bool make(const std::string& state, succession::Number number);
bool newerHeld(const std::string& state, succession::Number own);
int64_t bytesOf(const std::string& folder);
// An empty store's files; of a generation of its own folder that goes too.
void remove(const std::string& state, succession::Number number);

// Written by the one that leaves, from several threads.
class Notes {
  public:
    explicit Notes(const std::string& folder);
    ~Notes();
    Notes(const Notes&) = delete;
    Notes& operator=(const Notes&) = delete;
    Notes(Notes&& other) noexcept : fd_(other.fd_) { other.fd_ = -1; }
    void put(const std::string& lines);
    static void forget(const std::string& folder);  // what an earlier hand-over left

  private:
    std::mutex mutex_;
    int fd_;
};

// Read by the one that takes over, as it grows.
class Tail {
  public:
    explicit Tail(const std::string& folder) : path_(folder) {}
    ~Tail();
    Tail(Tail&& other) noexcept : path_(std::move(other.path_)), rest_(std::move(other.rest_)), fd_(other.fd_) {
        other.fd_ = -1;
    }
    std::vector<succession::Line> more();

  private:
    std::string path_, rest_;
    int fd_ = -1;
};

}  // namespace petrelpond::generations
