#include "config/follower.hpp"

#include "config/checked.hpp"
#include "config/parse.hpp"
#include "core/hash.hpp"

#include <algorithm>
#include <iterator>

namespace lacewingquay::config
{

namespace
{

std::string name_of(const body_source& source)
{
    return source.peer.empty() ? "the platform" : "peer '" + source.peer + "'";
}

std::vector<follower_action> problem(std::string message)
{
    std::vector<follower_action> actions;
    actions.emplace_back(follower_problem{std::move(message)});
    return actions;
}

void append(std::vector<follower_action>& actions, std::vector<follower_action> more)
{
    actions.insert(actions.end(), std::make_move_iterator(more.begin()),
                   std::make_move_iterator(more.end()));
}

} // namespace

follower::follower(follower_settings settings) : settings_(settings) {}

std::uint64_t follower::highest_seen() const
{
    return candidates_.empty() ? current_.epoch : candidates_.rbegin()->first.first;
}

std::vector<follower::candidate_key> follower::candidates_of(const std::string& digest) const
{
    std::vector<candidate_key> keys;
    for (const auto& [key, entry] : candidates_)
    {
        if (key.second == digest)
        {
            keys.push_back(key);
        }
    }
    return keys;
}

std::vector<follower_action> follower::head_seen(steady_time now, std::uint64_t epoch,
                                                 const std::string& digest,
                                                 const body_source& source)
{
    if (epoch == current_.epoch && epoch > 0 && digest != current_.digest)
    {
        return problem(name_of(source) + " names digest " + digest + " for epoch " +
                       std::to_string(epoch) + ", which is in force with digest " +
                       current_.digest);
    }
    if (epoch <= current_.epoch)
    {
        return {};
    }
    candidate& entry = candidates_[candidate_key(epoch, digest)];
    const bool is_known = std::any_of(entry.offers.begin(), entry.offers.end(),
                                      [&](const offer& known) { return known.source == source; });
    if (!is_known)
    {
        entry.offers.push_back(offer{source, steady_time::min()});
    }
    while (candidates_.size() > settings_.max_candidates)
    {
        candidates_.erase(candidates_.begin());
    }
    return advance(now);
}

void follower::delay_source(steady_time now, candidate& entry, const body_source& source) const
{
    for (offer& known : entry.offers)
    {
        if (known.source == source)
        {
            known.retry_at = now + settings_.retry_interval;
        }
    }
    if (entry.fetching && entry.fetching->first == source)
    {
        entry.fetching.reset();
        entry.has_failed = true;
    }
}

std::vector<follower_action> follower::body_received(steady_time now, const std::string& digest,
                                                     const body_source& source, std::string body)
{
    const std::vector<candidate_key> named = candidates_of(digest);
    const bool is_awaited =
        std::any_of(named.begin(), named.end(),
                    [&](const candidate_key& key) { return !candidates_.at(key).is_unusable; });
    if (!is_awaited)
    {
        return {};
    }
    std::vector<follower_action> actions;
    if (hex_digest(body) != digest)
    {
        for (const candidate_key& key : named)
        {
            delay_source(now, candidates_.at(key), source);
        }
        actions =
            problem("the body from " + name_of(source) + " does not match its digest " + digest);
        append(actions, advance(now));
        return actions;
    }
    checked<configuration> parsed = check_input([&] { return parse_configuration(body); });
    const std::uint64_t epoch = parsed.value ? parsed.value->epoch : 0;
    for (const candidate_key& key : named)
    {
        if (key.first != epoch)
        {
            candidate& wrong = candidates_.at(key);
            wrong.is_unusable = true;
            wrong.fetching.reset();
            append(actions, problem("the body with digest " + digest +
                                    " is not the configuration of epoch " +
                                    std::to_string(key.first) + ": " +
                                    (parsed.value ? "it is for epoch " + std::to_string(epoch)
                                                  : parsed.refusal)));
        }
    }
    if (candidates_.contains(candidate_key(epoch, digest)))
    {
        current_.epoch = epoch;
        current_.digest = digest;
        current_.value = std::make_shared<const configuration>(std::move(*parsed.value));
        current_.body = std::make_shared<const std::string>(std::move(body));
        candidates_.erase(candidates_.begin(), std::find_if(candidates_.begin(), candidates_.end(),
                                                            [&](const auto& other)
                                                            { return other.first.first > epoch; }));
        actions.emplace_back(current_);
    }
    append(actions, advance(now));
    return actions;
}

std::vector<follower_action> follower::fetch_failed(steady_time now, const std::string& digest,
                                                    const body_source& source)
{
    for (const candidate_key& key : candidates_of(digest))
    {
        delay_source(now, candidates_.at(key), source);
    }
    return advance(now);
}

std::vector<follower_action> follower::tick(steady_time now)
{
    return advance(now);
}

std::vector<follower_action> follower::advance(steady_time now)
{
    std::vector<follower_action> actions;
    for (auto position = candidates_.rbegin(); position != candidates_.rend(); ++position)
    {
        candidate& entry = position->second;
        if (entry.fetching && entry.fetching->second <= now)
        {
            const body_source late = entry.fetching->first;
            delay_source(now, entry, late);
        }
        if (entry.fetching)
        {
            if (!entry.has_failed)
            {
                return actions;
            }
            continue;
        }
        const auto due = std::min_element(entry.offers.begin(), entry.offers.end(),
                                          [](const offer& left, const offer& right)
                                          { return left.retry_at < right.retry_at; });
        if (!entry.is_unusable && due != entry.offers.end() && due->retry_at <= now)
        {
            entry.fetching = std::pair(due->source, now + settings_.fetch_timeout);
            actions.emplace_back(
                fetch_body{position->first.first, position->first.second, due->source});
            if (!entry.has_failed)
            {
                return actions;
            }
        }
    }
    return actions;
}

} // namespace lacewingquay::config
