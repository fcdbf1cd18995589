// Threads with small stacks. They are not joined: whoever starts one keeps what it works on alive.
#pragma once

#include <functional>

namespace petrelpond {

// False where the machine gives no further thread; the body then never runs.
[[nodiscard]] bool startThread(std::function<void()> body);

// So many at once, and no more: for a process on a machine that has few to give. Without it there is no bound.
void boundThreads(int most);

}  // namespace petrelpond
