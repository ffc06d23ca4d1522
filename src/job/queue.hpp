#pragma once

#include <chrono>
#include <string>

namespace lacewingquay::job
{

/// A queue that callers address by host and path prefix.
struct queue
{
    /// Host and prefix; names the queue across versions.
    std::string name;
    std::string host;
    std::string prefix;
    /// Pool whose backend servers run the queue's tasks.
    std::string pool;
    /// 0 comes first.
    int priority = 0;
    /// Failed runs of one task after which its job fails.
    int max_attempts = 3;
    /// Multiple of the longest chain of work that a job may take.
    double stretch = 2.0;
    /// Time beyond it.
    std::chrono::milliseconds objective{1'000};
    /// The queue's tasks need tickets of the advice service.
    bool has_advice = false;
};

} // namespace lacewingquay::job
