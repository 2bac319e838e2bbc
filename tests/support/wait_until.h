#pragma once

#include <chrono>
#include <thread>

namespace lovage {

/// Polls a condition every 2 ms until it holds or `timeout` expires; returns whether it holds.
template <class Condition>
bool wait_until(const Condition& condition, std::chrono::milliseconds timeout = std::chrono::seconds(5)) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return condition();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

} // namespace lovage
