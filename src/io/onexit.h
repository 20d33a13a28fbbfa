#pragma once

#include <utility>

namespace cranberry {

/// Runs a step at the end of its scope, also if an exception ends it: a handler that throws must not end the
/// chain of handlers that it belongs to.
template <typename Step>
class OnExit
{
public:
    explicit OnExit(Step step) : step_(std::move(step)) { }
    ~OnExit() { step_(); }

    OnExit(const OnExit &) = delete;
    OnExit &operator=(const OnExit &) = delete;

private:
    Step step_;
};

} // namespace cranberry
