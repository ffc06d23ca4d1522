#include "cli/note_output.hpp"

#include "cli/options.hpp"
#include "config/checked.hpp"

#include <ctime>
#include <exception>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string_view>
#include <utility>

namespace lacewingquay::cli
{

namespace json = boost::json;

namespace
{

std::string_view status_name(config::release_status status)
{
    switch (status)
    {
    case config::release_status::done:
        return "done";
    case config::release_status::conflict:
        return "conflict";
    case config::release_status::refused:
        return "refused";
    case config::release_status::unavailable:
        return "unavailable";
    case config::release_status::outcome_unknown:
        return "outcome_unknown";
    }
    return "outcome_unknown";
}

exit_code exit_code_of(config::release_status status)
{
    switch (status)
    {
    case config::release_status::done:
        return exit_ok;
    case config::release_status::conflict:
        return exit_conflict;
    case config::release_status::refused:
        return exit_usage;
    case config::release_status::unavailable:
    case config::release_status::outcome_unknown:
        return exit_failure;
    }
    return exit_failure;
}

void print_cost_line(const std::string& name, const json::value& change)
{
    const json::value& before = change.at("before");
    const json::value& after = change.at("after");
    std::cout << "  " << std::left << std::setw(24) << name << std::right << std::fixed
              << std::setprecision(2);
    for (const char* field : {"hosts", "buffer_hosts", "hour_cost", "buffer_hour_cost"})
    {
        const std::streamsize digits = before.at(field).is_double() ? 2 : 0;
        std::cout << std::setprecision(static_cast<int>(digits)) << std::setw(10)
                  << before.at(field).to_number<double>() << " -> " << std::left << std::setw(9)
                  << after.at(field).to_number<double>() << std::right;
    }
    std::cout << "\n";
}

/// Prints the cost that the note's row holds. Rows can be damaged, so fields may be missing.
void print_cost(const json::object& cost)
{
    try
    {
        std::cout << "  " << std::left << std::setw(24) << "cost before -> after" << std::right
                  << std::setw(12) << "hosts" << std::setw(23) << "buffer hosts" << std::setw(23)
                  << "per hour" << std::setw(23) << "buffer per hour"
                  << "\n";
        for (const json::key_value_pair& pool : cost.at("pools").as_object())
        {
            print_cost_line(pool.key(), pool.value());
        }
        print_cost_line("total", cost.at("total"));
        const json::array& moves = cost.at("moves").as_array();
        std::cout << "  declared moves: " << moves.size() << "\n";
        for (const json::value& move : moves)
        {
            std::cout << "    " << move.at("host").as_string() << ": "
                      << move.at("from").as_string() << " -> " << move.at("to").as_string() << "\n";
        }
    }
    catch (const std::exception& error)
    {
        std::cout << "  the cost in the note's row cannot be read: " << error.what() << "\n";
    }
}

json::object summary_of(const config::note_record& record)
{
    return json::object{{"id", record.note.id},
                        {"state", config::to_string(record.state)},
                        {"author", record.note.author},
                        {"reason", record.note.reason},
                        {"base_epoch", record.note.base_epoch},
                        {"proposed_at_ms", record.proposed_at_ms},
                        {"veto_until_ms", record.veto_until_ms},
                        {"epoch", record.epoch}};
}

} // namespace

std::string iso_time(std::int64_t unix_ms)
{
    const std::time_t seconds = static_cast<std::time_t>(unix_ms / 1'000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
    return text.str();
}

void print_record(const config::note_record& record)
{
    std::cout << "note " << record.note.id << ": " << config::to_string(record.state) << "\n"
              << "  author: " << record.note.author << "\n  reason: " << record.note.reason
              << "\n  base epoch: " << record.note.base_epoch
              << "\n  proposed at: " << iso_time(record.proposed_at_ms)
              << "\n  veto window ends: " << iso_time(record.veto_until_ms) << "\n";
    if (record.state != config::note_state::proposed)
    {
        std::cout << "  decided by " << record.decided_by << " at "
                  << iso_time(record.decided_at_ms) << "\n";
    }
    if (!record.decision_reason.empty())
    {
        std::cout << "  decision reason: " << record.decision_reason << "\n";
    }
    if (record.state == config::note_state::accepted)
    {
        std::cout << "  in force since epoch " << record.epoch << "\n";
    }
    print_cost(record.cost);
}

int print_notes(const note_overview& found, bool as_json)
{
    int code = exit_ok;
    json::array notes;
    std::ostringstream lines;
    for (const platform::row& row : found.rows.rows)
    {
        const config::checked<config::note_record> record =
            config::check_input([&] { return config::parse_note_record(row.value); });
        if (!record.value)
        {
            std::cerr << "row '" << row.key << "' cannot be read: " << record.refusal << "\n";
            code = exit_failure;
            continue;
        }
        notes.push_back(summary_of(*record.value));
        lines << std::left << std::setw(24) << record.value->note.id << std::setw(10)
              << config::to_string(record.value->state) << std::setw(22)
              << iso_time(record.value->veto_until_ms) << record.value->note.reason << "\n";
    }
    if (!as_json)
    {
        std::cout << "epoch in force: " << found.head.record.epoch << "\n"
                  << std::left << std::setw(24) << "note" << std::setw(10) << "state"
                  << std::setw(22) << "veto window ends"
                  << "reason\n"
                  << lines.str();
        return code;
    }
    json::object body;
    body["head"] = json::object{{"epoch", found.head.record.epoch},
                                {"digest", found.head.record.digest},
                                {"note_id", found.head.record.note_id},
                                {"accepted_at_ms", found.head.record.accepted_at_ms}};
    body["notes"] = std::move(notes);
    std::cout << json::serialize(body) << "\n";
    return code;
}

int report_result(const config::release_result& result, bool as_json)
{
    if (as_json)
    {
        json::object object{{"status", status_name(result.status)}, {"message", result.message}};
        json::array conflicts;
        for (const std::string& name : result.conflicts)
        {
            conflicts.emplace_back(name);
        }
        object["conflicts"] = std::move(conflicts);
        object["record"] = result.record ? json::value(config::to_json(*result.record)) : nullptr;
        std::cout << json::serialize(object) << "\n";
        return exit_code_of(result.status);
    }
    if (result.status == config::release_status::done)
    {
        std::cout << result.message << "\n";
        return exit_ok;
    }
    std::cerr << status_name(result.status) << ": " << result.message << "\n";
    if (result.status == config::release_status::conflict && !result.conflicts.empty())
    {
        std::cerr << "look at the configuration in force, set base_epoch to its epoch and propose "
                     "the note again with a new id\n";
    }
    return exit_code_of(result.status);
}

} // namespace lacewingquay::cli
