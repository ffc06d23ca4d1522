#include "job/progress.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace lacewingquay::job
{

namespace
{

constexpr std::array<std::pair<state, std::string_view>, 5> state_names{
    {{state::queued, "queued"},
     {state::running, "running"},
     {state::completed, "completed"},
     {state::failed, "failed"},
     {state::cancelled, "cancelled"}}};

/// Encodes an empty text, as fields are separated by blanks.
constexpr std::string_view empty_text = "-";
/// Marks the machine of the run behind the crash history.
constexpr char machine_mark = '@';
/// Begins the line of a task whose texts are percent-encoded. No earlier version writes it there.
constexpr char encoded_mark = '%';
/// Characters that no plain text of a task's line contains, besides control characters.
constexpr std::string_view server_separators = " ";
constexpr std::string_view name_separators = " /";
constexpr std::string_view checkpoint_separators;
constexpr int hexadecimal = 16;
/// Separates the job's id from the number of a further row.
constexpr char row_mark = '/';

/// Removes the next field up to `separator` from `text` and returns it.
std::string_view take_field(std::string_view& text, char separator)
{
    const std::size_t end = text.find(separator);
    const std::string_view field = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    return field;
}

template <typename Number>
bool take_number(std::string_view& text, char separator, Number& value)
{
    const std::string_view field = take_field(text, separator);
    const std::from_chars_result parsed =
        std::from_chars(field.data(), field.data() + field.size(), value);
    return parsed.ec == std::errc() && parsed.ptr == field.data() + field.size();
}

bool is_control(char letter)
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char del = 0x7f;
    const unsigned char code = static_cast<unsigned char>(letter);
    return code < first_printable || code == del;
}

bool is_plain(std::string_view text, std::string_view separators)
{
    return text != empty_text && text.find_first_of(separators) == std::string_view::npos &&
           std::none_of(text.begin(), text.end(), is_control);
}

/// True if a text of the task does not fit into a line as it is.
bool needs_encoding(const task_progress& task)
{
    return !is_plain(task.server, server_separators) || !is_plain(task.machine, name_separators) ||
           !is_plain(task.checkpoint, checkpoint_separators) ||
           std::any_of(task.crashes.suspicions.begin(), task.crashes.suspicions.end(),
                       [](const suspected_crash& crash) {
                           return !is_plain(crash.machine, name_separators) ||
                                  !is_plain(crash.server, name_separators);
                       });
}

void append_text(std::string_view value, bool is_encoded, std::string& text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    if (value.empty() || !is_encoded)
    {
        text += value.empty() ? empty_text : value;
        return;
    }
    const bool is_reserved = value == empty_text;
    for (const char letter : value)
    {
        if (is_reserved || is_control(letter) || letter == ' ' || letter == '/' || letter == '%')
        {
            const unsigned char code = static_cast<unsigned char>(letter);
            text += '%';
            text += digits[code / hexadecimal];
            text += digits[code % hexadecimal];
        }
        else
        {
            text += letter;
        }
    }
}

/// The inverse of `append_text`.
bool parse_text(std::string_view field, bool is_encoded, std::string& value)
{
    value.clear();
    if (field == empty_text || !is_encoded)
    {
        value = field == empty_text ? std::string_view() : field;
        return true;
    }
    while (!field.empty())
    {
        char letter = field.front();
        std::size_t length = 1;
        if (letter == '%')
        {
            constexpr std::size_t code_length = 3;
            length = code_length;
            const std::string_view digits = field.substr(1, length - 1);
            unsigned char code = 0;
            const std::from_chars_result parsed =
                std::from_chars(digits.data(), digits.data() + digits.size(), code, hexadecimal);
            if (digits.size() + 1 != length || parsed.ec != std::errc() ||
                parsed.ptr != digits.data() + digits.size())
            {
                return false;
            }
            letter = static_cast<char>(code);
        }
        else if (is_control(letter))
        {
            return false;
        }
        value += letter;
        field.remove_prefix(length);
    }
    return true;
}

/// Parses a suspicion and removes it from `text`. Older rows end with the machine.
bool take_suspicion(std::string_view& text, bool is_encoded, suspected_crash& crash)
{
    int at_start = 0;
    int alone = 0;
    if (!take_number(text, '/', crash.run) || !take_number(text, '/', at_start) ||
        !take_number(text, '/', alone) || text.empty() ||
        !parse_text(take_field(text, '/'), is_encoded, crash.machine))
    {
        return false;
    }
    crash.at_start = at_start != 0;
    crash.alone = alone != 0;
    if (text.empty() || text.front() == machine_mark)
    {
        return true;
    }
    return take_number(text, '/', crash.born) && !text.empty() &&
           parse_text(take_field(text, '/'), is_encoded, crash.server);
}

/// Parses the part of the server's start field that follows the number. Older rows have none of it,
/// or no machine of the run.
bool parse_crashes(std::string_view field, bool is_encoded, task_progress& task)
{
    crash_history& crashes = task.crashes;
    if (field.empty())
    {
        return true;
    }
    int suspect = 0;
    if (!take_number(field, '/', crashes.crashes) ||
        !take_number(field, '/', crashes.crashed_run) || !take_number(field, '/', suspect))
    {
        return false;
    }
    crashes.suspect = suspect != 0;
    do
    {
        suspected_crash crash;
        if (!take_suspicion(field, is_encoded, crash))
        {
            return false;
        }
        if (crash.run != 0)
        {
            crashes.suspicions.push_back(std::move(crash));
        }
    } while (!field.empty() && field.front() != machine_mark);
    return crashes.crashes >= 0 &&
           (field.empty() || parse_text(field.substr(1), is_encoded, task.machine));
}

/// Appends what `parse_crashes` reads, if there is anything to record.
void append_crashes(const task_progress& task, bool is_encoded, std::string& text)
{
    const crash_history& crashes = task.crashes;
    if (crashes == crash_history{} && task.machine.empty())
    {
        return;
    }
    text += '/' + std::to_string(crashes.crashes) + '/' + std::to_string(crashes.crashed_run);
    text += crashes.suspect ? "/1" : "/0";
    if (crashes.suspicions.empty())
    {
        text += "/0/0/0/";
        text += empty_text;
    }
    for (const suspected_crash& crash : crashes.suspicions)
    {
        text += '/' + std::to_string(crash.run);
        text += crash.at_start ? "/1" : "/0";
        text += crash.alone ? "/1/" : "/0/";
        append_text(crash.machine, is_encoded, text);
        text += '/' + std::to_string(crash.born) + '/';
        append_text(crash.server, is_encoded, text);
    }
    if (!task.machine.empty())
    {
        text += '/';
        text += machine_mark;
        append_text(task.machine, is_encoded, text);
    }
}

bool take_position(std::string_view& line, task_position& position)
{
    return take_number(line, '.', position.occurrence) && take_number(line, '.', position.step) &&
           take_number(line, ' ', position.index);
}

/// Removes the entry of the next task from `text` and returns it. An earlier version stored the
/// line feeds of a checkpoint as they were: lines that do not begin with a position belong to it.
std::string_view take_task(std::string_view& text)
{
    std::size_t end = text.find('\n');
    while (end != std::string_view::npos)
    {
        std::string_view next = text.substr(end + 1);
        next.remove_prefix(next.starts_with(encoded_mark) ? 1 : 0);
        task_position position;
        if (take_position(next, position))
        {
            break;
        }
        end = text.find('\n', end + 1);
    }
    const std::string_view entry = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    return entry;
}

bool parse_task(std::string_view line, task_progress& task)
{
    const bool is_encoded = line.starts_with(encoded_mark);
    line.remove_prefix(is_encoded ? 1 : 0);
    int done = 0;
    if (!take_position(line, task.position) || !take_number(line, ' ', done) ||
        !take_number(line, ' ', task.run) || !take_number(line, ' ', task.failures) ||
        !take_number(line, ' ', task.failed_run))
    {
        return false;
    }
    task.done = done != 0;
    const std::string_view server = take_field(line, ' ');
    std::string_view born = take_field(line, ' ');
    if (!parse_text(server, is_encoded, task.server) || !take_number(born, '/', task.server_born) ||
        !parse_crashes(born, is_encoded, task) || line.empty() ||
        !parse_text(line, is_encoded, task.checkpoint))
    {
        return false;
    }
    return task.position.occurrence >= 0 && task.position.step >= 0 && task.position.index >= 0;
}

void append_task(const task_progress& task, std::string& text)
{
    const bool is_encoded = needs_encoding(task);
    if (is_encoded)
    {
        text += encoded_mark;
    }
    text += std::to_string(task.position.occurrence) + '.' + std::to_string(task.position.step) +
            '.' + std::to_string(task.position.index);
    text += task.done ? " 1 " : " 0 ";
    text += std::to_string(task.run) + ' ' + std::to_string(task.failures) + ' ' +
            std::to_string(task.failed_run) + ' ';
    append_text(task.server, is_encoded, text);
    text += ' ' + std::to_string(task.server_born);
    append_crashes(task, is_encoded, text);
    text += ' ';
    append_text(task.checkpoint, is_encoded, text);
}

/// True if the stored progress of a task shows that one of its runs has begun. A run number alone
/// does not, as it is stored before the start order is sent.
bool has_begun(const task_progress& task)
{
    return task.done || task.failures > 0 || task.failed_run > 0 || !task.checkpoint.empty();
}

} // namespace

std::string_view state_name(state value)
{
    for (const std::pair<state, std::string_view>& entry : state_names)
    {
        if (entry.first == value)
        {
            return entry.second;
        }
    }
    return "unknown";
}

boost::leaf::result<state> parse_state(std::string_view text)
{
    for (const std::pair<state, std::string_view>& entry : state_names)
    {
        if (entry.second == text)
        {
            return entry.first;
        }
    }
    return boost::leaf::new_error(
        input_error{"state", std::string(text), "queued, running, completed, failed, cancelled"});
}

std::string serialize_progress(const progress& value)
{
    std::string text(state_name(value.reported_state));
    text += ' ';
    text += std::to_string(value.ended.count());
    text += value.begun ? " 1" : " 0";
    for (const task_progress& task : value.tasks)
    {
        text += '\n';
        append_task(task, text);
    }
    return text;
}

std::string serialize_tasks(std::span<const task_progress> tasks)
{
    std::string text;
    for (const task_progress& task : tasks)
    {
        text += text.empty() ? "" : "\n";
        append_task(task, text);
    }
    return text;
}

bool fit_line(task_progress& task, std::size_t limit)
{
    const auto fits = [&]
    {
        std::string line;
        append_task(task, line);
        return line.size() <= limit;
    };
    if (fits())
    {
        return true;
    }
    task.crashes.suspicions.clear();
    if (!fits())
    {
        task.checkpoint.clear();
    }
    return false;
}

std::string progress_key(std::string_view job, std::int64_t row)
{
    std::string key(job);
    if (row > 0)
    {
        key += row_mark;
        key += std::to_string(row);
    }
    return key;
}

std::pair<std::string, std::int64_t> parse_progress_key(std::string_view key)
{
    const std::string job(take_field(key, row_mark));
    std::int64_t row = 0;
    return {job, take_number(key, row_mark, row) ? row : 0};
}

boost::leaf::result<state> parse_progress_state(std::string_view text)
{
    std::string_view line = take_field(text, '\n');
    return parse_state(take_field(line, ' '));
}

boost::leaf::result<std::vector<task_progress>> parse_tasks(std::string_view text)
{
    std::vector<task_progress> tasks;
    while (!text.empty())
    {
        const std::string_view entry = take_task(text);
        task_progress task;
        if (!parse_task(entry, task))
        {
            return boost::leaf::new_error(
                input_error{"progress", std::string(entry.substr(0, 200)), "a task's progress"});
        }
        tasks.push_back(std::move(task));
    }
    return tasks;
}

boost::leaf::result<progress> parse_progress(std::string_view text)
{
    progress result;
    std::string_view header = take_field(text, '\n');
    BOOST_LEAF_ASSIGN(result.reported_state, parse_state(take_field(header, ' ')));
    std::int64_t ended = 0;
    if (!take_number(header, ' ', ended))
    {
        return boost::leaf::new_error(
            input_error{"progress", std::string(header), "the time of the final state"});
    }
    result.ended = milliseconds(ended);
    // Rows of an earlier version do not have this field.
    int begun = 0;
    const bool has_field = !header.empty();
    if (has_field && !take_number(header, ' ', begun))
    {
        return boost::leaf::new_error(
            input_error{"progress", std::string(header), "whether a task has begun"});
    }
    BOOST_LEAF_ASSIGN(result.tasks, parse_tasks(text));
    result.begun =
        has_field ? begun != 0 : std::any_of(result.tasks.begin(), result.tasks.end(), has_begun);
    return result;
}

} // namespace lacewingquay::job
