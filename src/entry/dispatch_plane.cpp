#include "entry/dispatch_plane.hpp"

#include "core/log.hpp"
#include "entry/completion.hpp"
#include "entry/thread_time.hpp"
#include "peer/dispatch_codec.hpp"

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <variant>

namespace lacewingquay::entry
{

namespace asio = boost::asio;

namespace
{

std::string reason_text(dispatch::refusal_reason reason)
{
    switch (reason)
    {
    case dispatch::refusal_reason::overload:
        return "overload";
    case dispatch::refusal_reason::deadline:
        return "deadline";
    case dispatch::refusal_reason::no_hosts:
        return "no_hosts";
    case dispatch::refusal_reason::unknown_service:
        return "unknown_service";
    case dispatch::refusal_reason::dispatcher_unreachable:
    case dispatch::refusal_reason::not_dispatcher:
    case dispatch::refusal_reason::moved:
        return "dispatcher_unreachable";
    }
    return "overload";
}

} // namespace

dispatch_plane::dispatch_plane(dispatch_plane_settings settings, const clock_source& clock,
                               report_receiver on_report)
    : settings_(std::move(settings)), clock_(clock), on_report_(std::move(on_report)),
      work_(io_.get_executor()), timer_(io_)
{
    node_ = std::make_unique<dispatch::node>(
        names_, settings_.core, names_.intern(settings_.id), names_.intern(settings_.incarnation),
        names_.intern(settings_.availability_zone), clock_.steady_now());
}

boost::leaf::result<std::unique_ptr<dispatch_plane>>
dispatch_plane::open(dispatch_plane_settings settings, zmq::context_t& context,
                     const clock_source& clock, report_receiver on_report,
                     claim_writer write_claims)
{
    std::unique_ptr<dispatch_plane> plane(
        new dispatch_plane(std::move(settings), clock, std::move(on_report)));
    dispatch_plane* target = plane.get();
    peer::link_settings link_settings;
    link_settings.id = target->settings_.id;
    link_settings.incarnation = target->settings_.incarnation;
    link_settings.listen = target->settings_.listen;
    BOOST_LEAF_ASSIGN(target->link_, peer::link::open(target->io_, context, link_settings,
                                                      [target](const pb::Envelope& envelope)
                                                      { target->receive(envelope); }));
    key_plane_settings key_settings;
    key_settings.id = target->settings_.id;
    key_settings.incarnation = target->settings_.incarnation;
    key_plane_outputs key_outputs;
    key_outputs.send = [target](const std::string& id, pb::Envelope& message)
    {
        target->link_->send(id, message);
    };
    key_outputs.write = std::move(write_claims);
    target->keys_ = std::make_unique<key_plane>(target->io_, key_settings, clock, key_outputs);
    return plane;
}

dispatch_plane::~dispatch_plane()
{
    stop();
}

void dispatch_plane::start()
{
    thread_ = std::thread(
        [this]
        {
            tick();
            keys_->start();
            io_.run();
        });
}

void dispatch_plane::stop()
{
    if (!thread_.joinable())
    {
        return;
    }
    asio::post(
        io_,
        [this]
        {
            link_->close();
            timer_.cancel();
            for (const std::pair<const std::uint64_t, waiting_wish>& entry : waiting_)
            {
                entry.second.done({std::nullopt, {"dispatcher_unreachable", milliseconds{1'000}}});
            }
            waiting_.clear();
            io_.stop();
        });
    thread_.join();
}

void dispatch_plane::update(routing::snapshot_pointer snapshot, std::vector<live_member> live)
{
    asio::post(io_, [this, snapshot = std::move(snapshot), live = std::move(live)]
               { apply_update(snapshot, live); });
}

void dispatch_plane::cut(std::set<std::string> peer_ids)
{
    asio::post(io_, [this, peer_ids = std::move(peer_ids)] { link_->cut(peer_ids); });
}

void dispatch_plane::apply_update(const routing::snapshot_pointer& snapshot,
                                  const std::vector<live_member>& live)
{
    snapshot_ = snapshot;
    std::map<std::string, address> peers;
    id_of_incarnation_.clear();
    for (const routing::member& member : snapshot->members)
    {
        peers[member.id] = member.dispatch_address;
        id_of_incarnation_[member.incarnation] = member.id;
    }
    link_->set_peers(peers);
    backend_addresses_.clear();
    for (const routing::backend_server& server : snapshot->backend_servers)
    {
        backend_addresses_[server.name] = server.where;
    }
    std::vector<dispatch::live_entry_host> entries;
    std::set<std::string> live_incarnations;
    bool confirmed = false;
    for (const live_member& member : live)
    {
        live_incarnations.insert(member.incarnation);
        confirmed = confirmed || (member.incarnation == settings_.incarnation && !member.stopping);
        entries.push_back({names_.intern(member.id), names_.intern(member.incarnation),
                           names_.intern(member.availability_zone), member.stopping});
    }
    node_->update(clock_.steady_now(), *snapshot, entries, actions_);
    perform(actions_);
    keys_->update(*snapshot, live_incarnations, confirmed);
}

asio::awaitable<traffic::slot_answer>
dispatch_plane::acquire(traffic::slot_requirements requirements)
{
    return asio::async_initiate<const asio::use_awaitable_t<>, void(traffic::slot_answer)>(
        [this](auto handler, traffic::slot_requirements wanted)
        {
            completion done = make_completion<traffic::slot_answer>(std::move(handler));
            asio::post(io_, [this, wanted = std::move(wanted), done = std::move(done)]() mutable
                       { request(wanted, std::move(done)); });
        },
        asio::use_awaitable, std::move(requirements));
}

void dispatch_plane::release(const traffic::slot& granted, traffic::slot_outcome outcome,
                             std::chrono::milliseconds ran)
{
    asio::post(io_,
               [this, handle = granted.grant_id, outcome, ran]
               {
                   node_->release(clock_.steady_now(), handle, outcome, ran, actions_);
                   perform(actions_);
               });
}

void dispatch_plane::request(const traffic::slot_requirements& requirements, completion done)
{
    if (!snapshot_)
    {
        done({std::nullopt, {"dispatcher_unreachable", milliseconds{1'000}}});
        return;
    }
    dispatch::slot_requirements wanted;
    wanted.service = names_.intern(requirements.service);
    wanted.urgency = requirements.urgency;
    wanted.deadline = requirements.deadline;
    wanted.run_limit = requirements.run_limit;
    for (const std::string& host : requirements.avoid)
    {
        wanted.avoid.push_back(names_.intern(host));
    }
    ask({std::move(wanted), std::move(done)});
    perform(actions_);
}

void dispatch_plane::ask(waiting_wish waiting)
{
    const std::uint64_t id = node_->request(clock_.steady_now(), waiting.wanted, actions_);
    waiting_.emplace(id, std::move(waiting));
}

void dispatch_plane::receive(const pb::Envelope& envelope)
{
    if (keys_->receive(envelope))
    {
        return;
    }
    const std::optional<dispatch::any_message> message = peer::decode_dispatch(names_, envelope);
    if (!message)
    {
        log_event(log_level::warning, "dispatch_message_refused", {{"sender", envelope.sender()}});
        return;
    }
    node_->handle(clock_.steady_now(), names_.intern(envelope.incarnation()), *message, actions_);
    perform(actions_);
}

void dispatch_plane::perform(dispatch::actions& out)
{
    // Handled after the loop, as they add actions.
    std::vector<dispatch::slot_granted> unusable;
    for (const dispatch::action& action : out)
    {
        if (const dispatch::send_message* message = std::get_if<dispatch::send_message>(&action))
        {
            send(*message);
        }
        else if (const dispatch::slot_granted* granted =
                     std::get_if<dispatch::slot_granted>(&action))
        {
            if (!grant(*granted))
            {
                unusable.push_back(*granted);
            }
        }
        else
        {
            refuse(std::get<dispatch::slot_refused>(action));
        }
    }
    out.clear();
    if (!unusable.empty())
    {
        for (const dispatch::slot_granted& granted : unusable)
        {
            ask_elsewhere(granted);
        }
        perform(out);
    }
}

void dispatch_plane::ask_elsewhere(const dispatch::slot_granted& granted)
{
    const std::unordered_map<std::uint64_t, waiting_wish>::iterator found =
        waiting_.find(granted.request_id);
    waiting_wish waiting = std::move(found->second);
    waiting_.erase(found);
    node_->release(clock_.steady_now(), granted.handle, traffic::slot_outcome::unused,
                   milliseconds{0}, actions_);
    waiting.wanted.avoid.push_back(granted.host);
    ask(std::move(waiting));
}

void dispatch_plane::send(const dispatch::send_message& message)
{
    const std::unordered_map<std::string, std::string>::const_iterator id =
        id_of_incarnation_.find(names_.text(message.to));
    if (id == id_of_incarnation_.end())
    {
        return;
    }
    envelope_.Clear();
    peer::encode(names_, message.payload, envelope_);
    link_->send(id->second, envelope_);
}

bool dispatch_plane::grant(const dispatch::slot_granted& granted)
{
    const std::unordered_map<std::uint64_t, waiting_wish>::iterator found =
        waiting_.find(granted.request_id);
    if (found == waiting_.end())
    {
        return true;
    }
    traffic::slot slot;
    slot.grant_id = granted.handle;
    slot.host = names_.text(granted.host);
    const std::map<std::string, address, std::less<>>::const_iterator where =
        backend_addresses_.find(slot.host);
    if (where == backend_addresses_.end())
    {
        // The dispatcher has a newer placement row than this entry host.
        return false;
    }
    slot.where = where->second;
    slot.start_by = granted.start_by;
    slot.run_until = granted.run_until;
    found->second.done({std::move(slot), {}});
    waiting_.erase(found);
    return true;
}

void dispatch_plane::refuse(const dispatch::slot_refused& refused)
{
    const std::unordered_map<std::uint64_t, waiting_wish>::iterator found =
        waiting_.find(refused.request_id);
    if (found == waiting_.end())
    {
        return;
    }
    found->second.done({std::nullopt, {reason_text(refused.reason), refused.retry_after}});
    waiting_.erase(found);
}

void dispatch_plane::tick()
{
    const steady_time now = clock_.steady_now();
    node_->tick(now, actions_);
    perform(actions_);
    if (now >= next_report_)
    {
        next_report_ = now + settings_.report_interval;
        send_report();
    }
    timer_.expires_after(settings_.tick_interval);
    timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                tick();
            }
        });
}

void dispatch_plane::send_report()
{
    const steady_time now = clock_.steady_now();
    dispatch_report report;
    if (snapshot_)
    {
        const std::map<std::string, std::uint64_t, std::less<>>::const_iterator epoch =
            snapshot_->placement_epochs.find(settings_.availability_zone);
        report.placement_in_force = epoch == snapshot_->placement_epochs.end() ? 0 : epoch->second;
    }
    report.lowest_placement_epoch = node_->dispatcher_state().lowest_placement_version(now);
    report.busy_draining_hosts = node_->dispatcher_state().busy_draining_hosts(now);
    report.queue_length = node_->dispatcher_state().queue_length();
    report.waiting = node_->holder_state().pending_count();
    report.holding = node_->holder_state().held_count();
    report.cpu_seconds = thread_cpu_seconds();
    on_report_(report);
}

} // namespace lacewingquay::entry
