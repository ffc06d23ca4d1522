#include "core/log.hpp"

#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace lacewingquay
{

namespace
{

std::string& node_name()
{
    static std::string name;
    return name;
}

spdlog::level::level_enum to_spdlog(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        return spdlog::level::err;
    }
    return spdlog::level::err;
}

/// Lines a second; a day's heaviest second of decisions has about half as many.
constexpr std::uint32_t max_lines_per_second = 600;

/// Writes lines of at most the size that a pipe takes at once, and only when it takes them.
class bounded_sink final : public spdlog::sinks::base_sink<std::mutex>
{
protected:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        const std::chrono::seconds second =
            std::chrono::duration_cast<std::chrono::seconds>(message.time.time_since_epoch());
        if (second != second_)
        {
            report_dropped();
            second_ = second;
            lines_ = 0;
        }
        if (lines_ >= max_lines_per_second)
        {
            ++dropped_;
            return;
        }
        ++lines_;
        spdlog::memory_buf_t text;
        formatter_->format(message, text);
        write(std::string_view(text.data(), text.size()));
    }

    void flush_() override {}

private:
    void report_dropped()
    {
        if (dropped_ > 0)
        {
            const std::string line = R"({"level":"warning","node":")" + node_name() +
                                     R"(","event":"log_dropped","lines":)" +
                                     std::to_string(dropped_) + "}\n";
            dropped_ = 0;
            write(line);
        }
    }

    void write(std::string_view text)
    {
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        const bool takes = ::poll(&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0;
        if (!takes || ::write(STDOUT_FILENO, text.data(), text.size()) < 0)
        {
            ++dropped_;
        }
    }

    std::chrono::seconds second_{0};
    std::uint32_t lines_ = 0;
    std::uint64_t dropped_ = 0;
};

void install(std::string_view node, log_level lowest, spdlog::sink_ptr sink)
{
    node_name() = std::string(node);
    std::shared_ptr<spdlog::logger> logger =
        std::make_shared<spdlog::logger>("main", std::move(sink));
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v)",
                        spdlog::pattern_time_type::utc);
    logger->set_level(to_spdlog(lowest));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
}

} // namespace

void set_up_log(std::string_view node, log_level lowest)
{
    install(node, lowest, std::make_shared<spdlog::sinks::stderr_sink_mt>());
}

void set_up_bounded_log(std::string_view node, log_level lowest)
{
    install(node, lowest, std::make_shared<bounded_sink>());
}

void log_event(log_level level, std::string_view event, boost::json::object fields)
{
    const spdlog::level::level_enum target = to_spdlog(level);
    if (!spdlog::default_logger_raw()->should_log(target))
    {
        return;
    }
    boost::json::object line;
    line["node"] = node_name();
    line["event"] = event;
    for (boost::json::key_value_pair& field : fields)
    {
        line[field.key()] = std::move(field.value());
    }
    const std::string text = boost::json::serialize(line);
    // The pattern opens the object and writes time and level; the first brace is left out here.
    spdlog::default_logger_raw()->log(target, "{}", std::string_view(text).substr(1));
}

} // namespace lacewingquay
