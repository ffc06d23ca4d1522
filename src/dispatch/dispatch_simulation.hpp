#pragma once

#include "dispatch/node.hpp"
#include "dispatch/wait_model.hpp"
#include "routing/snapshot.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <span>
#include <unordered_map>
#include <vector>

namespace lacewingquay::dispatch
{

/// Accumulates the outcomes of counted requests.
struct result_tally
{
    void start(const model_arrival& arrival, double wait);
    void complete(const model_arrival& arrival, bool in_time);
    void refuse(const model_arrival& arrival, double after);
    [[nodiscard]] wait_model_result finish(std::span<const model_arrival> arrivals);

    std::vector<double> waits;
    wait_model_result result;
};

/// Simulates nodes on one clock with fixed message delays. New arrivals at a killed entry host go
/// to other entry hosts; its open requests are lost.
class dispatch_simulation
{
public:
    dispatch_simulation(const wait_model_options& options, std::span<const model_arrival> arrivals);
    [[nodiscard]] wait_model_result run();

private:
    enum class event_kind : std::uint8_t
    {
        arrival,
        tick,
        message,
        completion,
        kill,
        failure_detected
    };

    struct event
    {
        steady_time time;
        std::uint64_t sequence = 0;
        event_kind kind = event_kind::tick;
        std::uint32_t target = 0;
        /// Arrival index, sender or zone, by kind.
        std::uint32_t subject = 0;
        std::uint64_t handle = 0;
        std::shared_ptr<any_message> payload;

        friend bool operator>(const event& left, const event& right)
        {
            return left.time != right.time ? left.time > right.time
                                           : left.sequence > right.sequence;
        }
    };

    struct entry_host
    {
        std::unique_ptr<node> core;
        std::uint32_t zone = 0;
        name_id incarnation = name_id::none;
        bool alive = true;
        /// Arrival of each open request.
        std::unordered_map<std::uint64_t, std::uint32_t> open_requests;
    };

    void push(event next);
    [[nodiscard]] steady_time time_at(double seconds) const;
    [[nodiscard]] double seconds(steady_time time) const;
    void build_snapshot();
    void update(std::uint32_t index, const std::vector<bool>& live);
    void handle(const event& next);
    void on_arrival(const event& next);
    void on_completion(const event& next);
    void on_kill();
    void process_actions(std::uint32_t index, actions& produced);
    void send(std::uint32_t from, send_message&& sent);

    const wait_model_options& options_;
    std::span<const model_arrival> arrivals_;
    name_table names_;
    routing::snapshot snapshot_;
    std::vector<entry_host> hosts_;
    std::unordered_map<name_id, std::uint32_t> indices_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t sequence_ = 0;
    steady_time start_time_{std::chrono::hours{1}};
    steady_time now_ = start_time_;
    result_tally tally_;
};

} // namespace lacewingquay::dispatch
