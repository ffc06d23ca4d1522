#pragma once

#include "http/server.hpp"

#include <boost/json.hpp>

#include <functional>
#include <string>

namespace lacewingquay::entry
{

/// What the operator port shows and does. All functions are called on the port's executor.
struct operator_functions
{
    /// Reasons for not being ready; empty if ready.
    std::function<std::string()> readiness;
    std::function<std::string()> metrics;
    std::function<boost::json::object()> status;
    /// Applies injected faults; empty if fault injection is off. Returns an error text or nothing.
    std::function<std::string(const boost::json::object&)> inject_faults;
};

/// The handler for `/healthz`, `/readyz`, `/metrics`, `/status` and, with fault injection,
/// `POST /faults`.
http::handler make_operator_handler(operator_functions functions);

} // namespace lacewingquay::entry
