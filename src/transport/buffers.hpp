// Buffers of one size, used again. A connection holds one only while a message is under way on it, so that
// hundreds of idle connections cost none.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

namespace petrelpond {

class Buffers {
  public:
    // A head, a body of 64 KiB, and what else of the next message came with it.
    static constexpr size_t kSize = 88 * 1024;

    explicit Buffers(size_t most) : left_(most) {}

    // Gives its memory back to the pool at the end of its life.
    class Lease {
      public:
        Lease() = default;
        Lease(Buffers* from, std::unique_ptr<char[]> memory) : from_(from), memory_(std::move(memory)) {}
        Lease(Lease&&) = default;
        Lease& operator=(Lease&& other) noexcept {
            giveBack();
            from_ = other.from_, memory_ = std::move(other.memory_);
            return *this;
        }
        ~Lease() { giveBack(); }
        explicit operator bool() const { return memory_ != nullptr; }
        char* data() const { return memory_.get(); }

      private:
        void giveBack() {
            if (memory_) from_->take(std::move(memory_));
        }
        Buffers* from_ = nullptr;
        std::unique_ptr<char[]> memory_;
    };

    // Empty where none is to be had; nobody waits for one, as who holds one may wait for a peer.
    Lease lease() {
        std::unique_ptr<char[]> memory;
        std::lock_guard lock(mutex_);
        if (!idle_.empty()) {
            memory = std::move(idle_.back());
            idle_.pop_back();
        } else if (left_ > 0) {
            --left_;
            memory.reset(new (std::nothrow) char[kSize]);
            if (!memory) ++left_;
        }
        return memory ? Lease(this, std::move(memory)) : Lease();
    }

  private:
    void take(std::unique_ptr<char[]> memory) {
        std::lock_guard lock(mutex_);
        idle_.push_back(std::move(memory));
    }

    std::mutex mutex_;
    size_t left_;
    std::vector<std::unique_ptr<char[]>> idle_;
};

}  // namespace petrelpond
