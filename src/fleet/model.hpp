#pragma once

#include "job/model.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lacewingquay::fleet
{

/// State of a machine as reported by the platform.
enum class machine_state : std::uint8_t
{
    up,
    moving,
    maintenance,
    down
};

/// A machine of the platform.
struct machine
{
    std::string name;
    std::string pool;
    machine_state state = machine_state::up;
    std::string availability_zone;
    job::resources capacity;
    /// Id of its backend server; empty if it has none.
    std::string server;
};

/// A maintenance wave requested by the operator.
struct wave
{
    std::int64_t number = 0;
    std::vector<std::string> machines;
    std::chrono::milliseconds duration{0};
    /// Most machines in maintenance at once.
    int max_away = 1;
};

} // namespace lacewingquay::fleet
