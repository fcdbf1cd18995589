// The orders on the disk, in the folder that lasts. Two processes of one sender may have it open, while one
// takes over from the other: each change is made to what stands there, and the other looks now and then.
#pragma once

#include <functional>
#include <mutex>
#include <string>

#include "src/operators/orders.hpp"

namespace petrelpond::operators {

class Ledger {
  public:
    // Reads what holds. `damaged`: something stands there that can't be read; it is set aside, and no order
    // holds.
    Ledger(std::string folder, std::string& damaged);
    ~Ledger();
    Ledger(const Ledger&) = delete;
    Ledger& operator=(const Ledger&) = delete;

    Orders orders() const;
    // Decides on what stands now and writes what it changes, before it returns. False in `answer.yes` where
    // that could not be written: nothing has changed then.
    Answer act(const std::function<Answer(const Orders&)>& decide);
    bool look();  // whether another process has changed them since

  private:
    bool readNow(Orders& into) const;
    std::string stamp() const;

    std::string folder_;
    int lock_ = -1;
    mutable std::mutex mutex_;
    Orders orders_;
    std::string seen_;
};

}  // namespace petrelpond::operators
