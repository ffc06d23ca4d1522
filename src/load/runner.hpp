#pragma once

#include "http/client.hpp"
#include "load/arrivals.hpp"
#include "load/settings.hpp"
#include "load/statistics.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <fstream>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lacewingquay::load
{

/// Sends open-loop load: requests are sent at their arrival times whether or not earlier ones have
/// ended, and latency counts from the arrival time, so that slow answers do not thin out the load.
/// An entry host that refuses connections is left out for a while, as a balancer does.
class runner
{
public:
    explicit runner(load_settings settings);

    /// Runs to the end. False if the records file cannot be written.
    bool run();

    [[nodiscard]] const statistics& results() const { return results_; }

private:
    struct call
    {
        arrival planned;
        std::string base_id;
        std::string key;
        std::chrono::steady_clock::time_point arrived;
    };

    boost::asio::awaitable<void> generate();
    boost::asio::awaitable<void> perform(call request);
    boost::asio::awaitable<attempt_record> attempt(const call& request, std::size_t entry,
                                                   std::string request_id);
    void classify(const http::exchange_result& exchange, attempt_record& record) const;
    std::unique_ptr<http::client_connection> take_connection(std::size_t entry);
    void record(const attempt_record& entry);
    [[nodiscard]] std::vector<bool> usable_entries(std::size_t except) const;

    load_settings settings_;
    boost::asio::io_context io_;
    arrival_process arrivals_;
    std::mt19937_64 id_random_;
    std::vector<std::vector<std::unique_ptr<http::client_connection>>> idle_;
    std::vector<std::chrono::steady_clock::time_point> down_until_;
    std::chrono::steady_clock::time_point started_;
    statistics results_;
    std::ofstream records_;
};

/// `lacewingquay load`: runs load and prints the results. Returns an exit code.
int run_load(std::span<const std::string> arguments);

} // namespace lacewingquay::load
