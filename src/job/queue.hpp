#pragma once

#include <chrono>
#include <string>

namespace lacewingquay::job
{

/// A queue that callers address by host and path prefix.
struct queue
{
    /// Host and prefix; identifies the queue across configuration versions.
    std::string name;
    std::string host;
    std::string prefix;
    /// Pool whose backend servers run the queue's tasks.
    std::string pool;
    /// Lower values go first.
    int priority = 0;
    /// Failed runs of one task after which its job fails.
    int max_attempts = 3;
    /// A job should finish within `stretch` times its longest chain of steps plus `objective`.
    double stretch = 2.0;
    std::chrono::milliseconds objective{1'000};
    /// The queue's tasks may start only with a ticket of the advice service.
    bool has_advice = false;
};

} // namespace lacewingquay::job
