#include "load/runner.hpp"

#include "core/uuid.hpp"
#include "load/answer_body.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>
#include <iostream>
#include <limits>

namespace lacewingquay::load
{

namespace asio = boost::asio;

using std::chrono::steady_clock;

namespace
{

constexpr asio::as_tuple_t<asio::use_awaitable_t<>> awaiting{};

/// Time for which an entry host that refused a connection is left out.
constexpr std::chrono::milliseconds down_time{500};

/// Time that a caller waits beyond its deadline for the entry host's own verdict.
constexpr std::chrono::milliseconds answer_grace{500};

/// Pause before a caller repeats a request.
constexpr std::chrono::milliseconds repeat_pause{50};

constexpr std::uint32_t first_server_error = 500;

/// A generator for request ids and keys. Not seeded by the settings: two runs with one seed would
/// send the same ids and keys in the same millisecond.
std::mt19937_64 make_id_generator()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
}

std::chrono::microseconds since(steady_clock::time_point start)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - start);
}

} // namespace

runner::runner(load_settings settings)
    : settings_(std::move(settings)), arrivals_(settings_), id_random_(make_id_generator()),
      idle_(settings_.entries.size()),
      down_until_(settings_.entries.size(), steady_clock::time_point{})
{
}

bool runner::run()
{
    if (!settings_.records.empty())
    {
        records_.open(settings_.records, std::ios::trunc);
        if (!records_)
        {
            return false;
        }
    }
    started_ = steady_clock::now();
    asio::co_spawn(io_, generate(), asio::detached);
    io_.run();
    return !records_.is_open() || records_.good();
}

asio::awaitable<void> runner::generate()
{
    asio::steady_timer timer(io_);
    while (std::optional<arrival> planned = arrivals_.next())
    {
        call request;
        request.arrived = started_ + planned->at;
        request.base_id = make_uuid_v7(std::chrono::system_clock::now(), id_random_);
        if (planned->is_write)
        {
            request.key = make_uuid_v7(std::chrono::system_clock::now(), id_random_);
        }
        request.planned = std::move(*planned);
        if (request.arrived > steady_clock::now())
        {
            timer.expires_at(request.arrived);
            co_await timer.async_wait(awaiting);
        }
        asio::co_spawn(io_, perform(std::move(request)), asio::detached);
    }
}

std::vector<bool> runner::usable_entries(std::size_t except) const
{
    const steady_clock::time_point now = steady_clock::now();
    std::vector<bool> usable(settings_.entries.size());
    for (std::size_t i = 0; i < usable.size(); ++i)
    {
        usable[i] = i != except && down_until_[i] <= now;
    }
    return usable;
}

asio::awaitable<void> runner::perform(call request)
{
    const std::size_t none = settings_.entries.size();
    std::size_t entry = request.planned.entry;
    if (down_until_[entry] > steady_clock::now())
    {
        entry = arrivals_.choose_entry(usable_entries(none));
    }
    attempt_record last;
    std::int64_t repeats = 0;
    std::size_t unreachable = 0;
    for (int number = 0;; ++number)
    {
        last = co_await attempt(request, entry, request.base_id + "-" + std::to_string(number));
        record(last);
        const bool no_connection = last.reason.rfind("connect", 0) == 0;
        if (no_connection)
        {
            down_until_[entry] = steady_clock::now() + down_time;
        }
        const bool over = last.result == attempt_result::completed ||
                          steady_clock::now() - request.arrived >= settings_.deadline;
        // A balancer tries another entry host when one cannot be reached; that is no repeat.
        const bool next_entry = no_connection && ++unreachable < settings_.entries.size();
        if (over || (!next_entry && repeats >= settings_.repeats))
        {
            break;
        }
        if (!next_entry)
        {
            ++repeats;
            asio::steady_timer pause(io_, repeat_pause);
            co_await pause.async_wait(awaiting);
        }
        entry = arrivals_.choose_entry(usable_entries(entry));
    }
    if (request.planned.at >= settings_.warm_up)
    {
        results_.add(last);
    }
}

asio::awaitable<attempt_record> runner::attempt(const call& request, std::size_t entry,
                                                std::string request_id)
{
    attempt_record record;
    record.request_id = std::move(request_id);
    record.idempotency_key = request.key;
    record.service = request.planned.service;
    record.entry = settings_.entries[entry].where.text();
    record.arrived = std::chrono::duration_cast<std::chrono::milliseconds>(request.planned.at);
    const std::string target = settings_.direct ? "/item" : "/" + request.planned.service + "/item";
    http::request message =
        http::make_request(request.planned.is_write ? http::method::post : http::method::get,
                           target, request.planned.is_write ? R"({"order":1})" : "");
    message.set(boost::beast::http::field::host, record.entry);
    message.set("Lacewingquay-Request-Id", record.request_id);
    message.set("Lacewingquay-Deadline-Ms", std::to_string(settings_.deadline.count()));
    if (!settings_.priority.empty())
    {
        message.set("Lacewingquay-Priority", settings_.priority);
    }
    if (!request.key.empty())
    {
        message.set("Idempotency-Key", request.key);
    }
    std::unique_ptr<http::client_connection> connection = take_connection(entry);
    const http::exchange_result exchange =
        co_await connection->exchange(std::move(message), settings_.deadline + answer_grace);
    record.latency = since(request.arrived);
    classify(exchange, record);
    if (connection->is_open())
    {
        idle_[entry].push_back(std::move(connection));
    }
    co_return record;
}

void runner::classify(const http::exchange_result& exchange, attempt_record& record) const
{
    record.reason = exchange.reason;
    if (exchange.outcome != verdict::completed)
    {
        record.result =
            exchange.outcome == verdict::not_run ? attempt_result::not_run : attempt_result::lost;
        return;
    }
    const http::response& answer = *exchange.answer;
    record.status = answer.result_int();
    const std::string_view waited = answer["Lacewingquay-Wait-Us"];
    std::int64_t wait = -1;
    if (std::from_chars(waited.data(), waited.data() + waited.size(), wait).ec == std::errc{})
    {
        record.waited = std::chrono::microseconds{wait};
    }
    const std::string_view said = answer["Lacewingquay-Verdict"];
    if (said == to_string(verdict::not_run) || said == to_string(verdict::may_have_run))
    {
        record.result = said == to_string(verdict::not_run) ? attempt_result::not_run
                                                            : attempt_result::may_have_run;
        record.reason = answer.body().substr(0, 200);
        return;
    }
    record.host = std::string(answer["Lacewingquay-Host"]);
    if (record.status >= first_server_error)
    {
        record.result = attempt_result::server_error;
        return;
    }
    const bool right = answer["Lacewingquay-Request-Id"] == record.request_id &&
                       (!settings_.verify || is_whole_answer(answer.body(), record.request_id));
    record.result = right ? attempt_result::completed : attempt_result::wrong_answer;
}

std::unique_ptr<http::client_connection> runner::take_connection(std::size_t entry)
{
    std::vector<std::unique_ptr<http::client_connection>>& idle = idle_[entry];
    if (idle.empty())
    {
        return std::make_unique<http::client_connection>(io_.get_executor(),
                                                         settings_.entries[entry].where);
    }
    std::unique_ptr<http::client_connection> connection = std::move(idle.back());
    idle.pop_back();
    return connection;
}

void runner::record(const attempt_record& entry)
{
    if (records_.is_open())
    {
        records_ << boost::json::serialize(to_json(entry)) << '\n';
    }
}

int run_load(std::span<const std::string> arguments)
{
    cli::option_set options("lacewingquay load --entry IP:PORT --rate SERVICE=RATE [flags]");
    declare_load_options(options);
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int>
        {
            BOOST_LEAF_CHECK(options.parse(arguments));
            if (options.wants_help())
            {
                std::cout << options.help();
                return cli::exit_ok;
            }
            BOOST_LEAF_AUTO(settings, parse_load_settings(options));
            runner run(settings);
            if (!run.run())
            {
                return boost::leaf::new_error(
                    input_error{"--records", settings.records, "a file that can be written"});
            }
            if (options.is_set("json"))
            {
                std::cout << boost::json::serialize(run.results().to_json()) << "\n";
            }
            else
            {
                std::cout << run.results().to_table();
            }
            return cli::exit_ok;
        },
        [](const input_error& error) -> int
        {
            std::cerr << "lacewingquay load: " << error.message() << "\n";
            return cli::exit_usage;
        },
        []() -> int { return cli::exit_failure; });
}

} // namespace lacewingquay::load
