#include "membership/tracked_write.hpp"

#include <boost/json.hpp>

#include <cassert>
#include <utility>

namespace lacewingquay::membership
{

tracked_write::tracked_write(std::string writer, milliseconds read_retry)
    : writer_(std::move(writer)), read_retry_(read_retry)
{
}

std::string tracked_write::new_write_id()
{
    return writer_ + "/" + std::to_string(++last_write_);
}

table_write tracked_write::begin(steady_time now, platform::transaction changes, std::string key,
                                 std::string write_id)
{
    assert(!is_pending());
    stage_ = stage::writing;
    key_index_ = 0;
    while (key_index_ < changes.writes.size() && changes.writes[key_index_].key != key)
    {
        ++key_index_;
    }
    assert(key_index_ < changes.writes.size());
    key_ = std::move(key);
    write_id_ = std::move(write_id);
    sent_at_ = now;
    pending_action_ = new_action_id();
    return {pending_action_, std::move(changes)};
}

table_read tracked_write::read_back()
{
    stage_ = stage::reading;
    pending_action_ = new_action_id();
    return {pending_action_, key_, 0};
}

std::optional<write_outcome> tracked_write::on_write_result(steady_time now,
                                                            const write_result& answer,
                                                            std::vector<table_action>& actions)
{
    if (stage_ != stage::writing || answer.action_id != pending_action_)
    {
        return std::nullopt;
    }
    write_outcome outcome;
    outcome.sent_at = sent_at_;
    switch (answer.result.status)
    {
    case platform::transact_status::committed:
        if (answer.result.versions.size() <= key_index_)
        {
            // Without the row's version the outcome cannot be used; handled like a lost answer.
            break;
        }
        stage_ = stage::idle;
        outcome.status = write_status::committed;
        outcome.version = answer.result.versions[key_index_];
        return outcome;
    case platform::transact_status::conflict:
        stage_ = stage::idle;
        outcome.status = write_status::conflict;
        outcome.conflict_key = answer.result.conflict_key;
        return outcome;
    case platform::transact_status::not_written:
        stage_ = stage::idle;
        outcome.status = write_status::not_written;
        return outcome;
    case platform::transact_status::unknown:
        break;
    }
    next_read_ = now + read_retry_;
    actions.emplace_back(read_back());
    return std::nullopt;
}

std::optional<write_outcome> tracked_write::on_read_result(steady_time now,
                                                           const read_result& answer)
{
    if (stage_ != stage::reading || answer.action_id != pending_action_)
    {
        return std::nullopt;
    }
    const platform::row_result& result = answer.result;
    if (result.status != platform::read_status::found &&
        result.status != platform::read_status::absent)
    {
        stage_ = stage::read_failed;
        next_read_ = now + read_retry_;
        return std::nullopt;
    }
    stage_ = stage::idle;
    write_outcome outcome;
    outcome.sent_at = sent_at_;
    outcome.status = write_status::superseded;
    outcome.read_back = platform::row{key_, 0, {}};
    if (result.status == platform::read_status::found)
    {
        outcome.read_back = result.value;
        if (write_id_of(result.value.value) == write_id_)
        {
            outcome.status = write_status::committed;
            outcome.version = result.value.version;
        }
    }
    return outcome;
}

void tracked_write::on_tick(steady_time now, std::vector<table_action>& actions)
{
    if (stage_ == stage::read_failed && now >= next_read_)
    {
        actions.emplace_back(read_back());
    }
}

std::optional<std::string> write_id_of(std::string_view value)
{
    boost::json::error_code error;
    const boost::json::value parsed = boost::json::parse(value, error);
    if (error || !parsed.is_object())
    {
        return std::nullopt;
    }
    const boost::json::value* found = parsed.get_object().if_contains("write_id");
    if (found == nullptr || !found->is_string())
    {
        return std::nullopt;
    }
    return std::string(found->get_string());
}

} // namespace lacewingquay::membership
