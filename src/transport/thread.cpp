#include "src/transport/thread.hpp"

#include <pthread.h>

#include <atomic>
#include <limits>
#include <memory>

namespace petrelpond {

namespace {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr size_t kStack = 1024 * 1024;  // the sanitizers' frames are several times as large
#else
constexpr size_t kStack = 96 * 1024;
#endif

std::atomic<int> left = std::numeric_limits<int>::max();

void* enter(void* body) {
    std::unique_ptr<std::function<void()>> owned(static_cast<std::function<void()>*>(body));
    (*owned)();
    ++left;
    return nullptr;
}

}  // namespace

bool startThread(std::function<void()> body) {
    if (--left < 0) return ++left, false;
    auto owned = std::make_unique<std::function<void()>>(std::move(body));
    pthread_attr_t how;
    if (pthread_attr_init(&how) != 0) return ++left, false;
    pthread_attr_setstacksize(&how, kStack);
    pthread_attr_setdetachstate(&how, PTHREAD_CREATE_DETACHED);
    pthread_t made;
    bool fine = pthread_create(&made, &how, enter, owned.get()) == 0;
    pthread_attr_destroy(&how);
    if (fine) owned.release();
    if (!fine) ++left;
    return fine;
}

void boundThreads(int most) { left = most; }

}  // namespace petrelpond
