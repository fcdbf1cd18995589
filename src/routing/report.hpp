// What the actors tell of their work, and to whom: the program counts and logs it.
#pragma once

#include <string>
#include <string_view>

namespace petrelpond {

enum class Level { debug, info, warning, error };

// clang-format off
#define PETRELPOND_COUNTS(X) \
    X(clientsAccepted) X(clientsHeldUp) X(clientsMute) X(requestsBad) X(requestsLate) X(textsIn) \
    X(textsUnusable) X(textsAgain) X(textsTaken) X(textsRefused) \
    X(textsFailedAtOnce) X(textsWithdrawn) X(textsResumed) X(callsStarted) X(callsAnswered) \
    X(callsHalfAnswered) X(callsNoMeans) X(callsRefused) X(callsNeverUp) X(callsBrokeBeforeSent) \
    X(callsBrokeAfterSent) X(callsOddAnswer) X(callsTimedOutUnsent) X(callsTimedOut) \
    X(callsCancelledUnsent) X(callsCancelled) X(connectionsOpened) X(submits) X(delivered) X(errors) \
    X(turnedAway) X(notSent) X(overElsewhere) X(nacked) X(undeliverable) X(noticesTold) \
    X(noticesOdd) X(listsRead) X(listsOdd) X(listCallsFailed) X(listCallsTurnedAway) X(storeCompacted) X(storeRefused) \
    X(storeFailed) X(storeDamaged) X(endpointsFreed) X(destinationsFreed) X(configsReread) X(configsOdd) \
    X(operatorsAccepted) X(operatorsRefused) X(roundsLong)
// clang-format on

// The calls' ends stand in the order of Ending, transport/ending.hpp.
enum class Count {
#define X(name) name,
    PETRELPOND_COUNTS(X)
#undef X
        kinds
};

class Report {
  public:
    virtual ~Report() = default;
    virtual void add(Count what, long n = 1) = 0;
    virtual bool says(Level level) const = 0;
    virtual void say(Level level, std::string_view words) = 0;
    virtual std::string counters() const = 0;
};

}  // namespace petrelpond
