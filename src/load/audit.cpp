#include "load/audit.hpp"

#include "cli/options.hpp"
#include "core/json.hpp"

#include <fstream>
#include <iostream>

namespace lacewingquay::load
{

namespace leaf = boost::leaf;

namespace
{

constexpr std::size_t max_examples = 10;

std::string text_of(const boost::json::object& object, std::string_view field)
{
    const boost::json::value* value = object.if_contains(field);
    return value != nullptr && value->is_string() ? std::string(value->get_string())
                                                  : std::string();
}

void add_example(boost::json::array& examples, std::string_view kind, std::string_view what)
{
    if (examples.size() < max_examples)
    {
        examples.push_back({{"kind", kind}, {"request", what}});
    }
}

leaf::result<void> read_lines(const std::string& file, const std::string& flag, audit& target,
                              leaf::result<void> (audit::*add)(std::string_view))
{
    std::ifstream input(file);
    if (!input)
    {
        return leaf::new_error(input_error{flag, file, "a file that can be read"});
    }
    std::string line;
    while (std::getline(input, line))
    {
        BOOST_LEAF_CHECK((target.*add)(line));
    }
    return {};
}

} // namespace

bool audit_result::is_clean(std::uint64_t slots) const
{
    return doubled == 0 && false_not_run == 0 && wrong_answers == 0 && max_in_progress <= slots;
}

boost::json::object audit_result::to_json() const
{
    return {{"attempts", attempts},
            {"starts", starts},
            {"doubled", doubled},
            {"false_not_run", false_not_run},
            {"wrong_answers", wrong_answers},
            {"max_in_progress", max_in_progress},
            {"examples", examples}};
}

leaf::result<void> audit::add_record(std::string_view line)
{
    BOOST_LEAF_AUTO(object, parse_json_object(line, "record"));
    attempt entry;
    entry.request_id = text_of(object, "request_id");
    entry.result = text_of(object, "result");
    if (entry.request_id.empty() || entry.result.empty())
    {
        return leaf::new_error(
            input_error{"record", std::string(line), "an object with request_id and result"});
    }
    attempts_.push_back(std::move(entry));
    return {};
}

leaf::result<void> audit::add_journal(std::string_view line)
{
    BOOST_LEAF_AUTO(object, parse_json_object(line, "journal"));
    if (text_of(object, "event") != "start")
    {
        return {};
    }
    const std::string id = text_of(object, "request_id");
    const std::string method = text_of(object, "method");
    const std::string key = text_of(object, "idempotency_key");
    ++starts_;
    ++starts_by_id_[id];
    if (method != "GET" && method != "HEAD")
    {
        ++write_starts_by_id_[id];
        if (!key.empty())
        {
            ++starts_by_key_[key];
        }
    }
    const boost::json::value* in_progress = object.if_contains("in_progress");
    if (in_progress != nullptr && in_progress->is_number())
    {
        max_in_progress_ = std::max(max_in_progress_, in_progress->to_number<std::uint64_t>());
    }
    return {};
}

audit_result audit::finish() const
{
    audit_result result;
    result.attempts = attempts_.size();
    result.starts = starts_;
    result.max_in_progress = max_in_progress_;
    for (const std::pair<const std::string, std::uint64_t>& entry : starts_by_key_)
    {
        if (entry.second > 1)
        {
            ++result.doubled;
            add_example(result.examples, "doubled_key", entry.first);
        }
    }
    for (const std::pair<const std::string, std::uint64_t>& entry : write_starts_by_id_)
    {
        if (entry.second > 1)
        {
            ++result.doubled;
            add_example(result.examples, "doubled_request", entry.first);
        }
    }
    for (const attempt& entry : attempts_)
    {
        const bool started = starts_by_id_.count(entry.request_id) > 0;
        if (entry.result == "not_run" && started)
        {
            ++result.false_not_run;
            add_example(result.examples, "false_not_run", entry.request_id);
        }
        if (entry.result == "wrong_answer")
        {
            ++result.wrong_answers;
            add_example(result.examples, "wrong_answer", entry.request_id);
        }
    }
    return result;
}

int run_audit(std::span<const std::string> arguments)
{
    cli::option_set options("lacewingquay audit --records FILE --journal FILE [flags]");
    options.add_list("records", "records file of `lacewingquay load`; repeat for each");
    options.add_list("journal", "journal of a backend server stand-in; repeat for each");
    options.add("slots", "8", "requests that may be in progress at one backend server");
    return leaf::try_handle_all(
        [&]() -> leaf::result<int>
        {
            BOOST_LEAF_CHECK(options.parse(arguments));
            if (options.wants_help())
            {
                std::cout << options.help();
                return cli::exit_ok;
            }
            BOOST_LEAF_AUTO(slots, options.integer("slots", 1, 1'000'000));
            audit check;
            for (const std::string& file : options.list("records"))
            {
                BOOST_LEAF_CHECK(read_lines(file, "--records", check, &audit::add_record));
            }
            for (const std::string& file : options.list("journal"))
            {
                BOOST_LEAF_CHECK(read_lines(file, "--journal", check, &audit::add_journal));
            }
            const audit_result result = check.finish();
            std::cout << boost::json::serialize(result.to_json()) << "\n";
            return result.is_clean(static_cast<std::uint64_t>(slots)) ? cli::exit_ok
                                                                      : cli::exit_failure;
        },
        [](const input_error& error) -> int
        {
            std::cerr << "lacewingquay audit: " << error.message() << "\n";
            return cli::exit_usage;
        },
        []() -> int { return cli::exit_failure; });
}

} // namespace lacewingquay::load
