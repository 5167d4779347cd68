// Lines are made by hand into one buffer: the fields are flat and known.
#include <telemetry/EventLog.h>

#include <absl/strings/str_cat.h>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

#include <fcntl.h>
#include <unistd.h>

namespace basilnotch {

namespace {

std::string quoted(std::string_view text)
{
    return boost::json::serialize(boost::json::string_view(text.data(), text.size()));
}

std::string printValue(const LogField &field)
{
    if (const auto *text = std::get_if<std::string_view>(&field.value)) {
        return quoted(*text);
    }
    if (const auto *number = std::get_if<std::int64_t>(&field.value)) {
        return absl::StrCat(*number);
    }
    if (const auto *real = std::get_if<double>(&field.value)) {
        return absl::StrCat(*real);
    }
    return std::get<bool>(field.value) ? "true" : "false";
}

} // namespace

StandardOutput::StandardOutput()
{
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        (void)::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

bool StandardOutput::write(std::string_view line)
{
    return ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

EventLog::EventLog(LogOutput &output, const Clock &clock, std::string instance,
                   EventLogOptions options)
    : output(output)
    , clock(clock)
    , instance(std::move(instance))
    , options(options)
{ }

bool EventLog::admit(LogKind kind, TimePoint now)
{
    const auto current =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (current != this->second) {
        this->second = current;
        this->lines.fill(0);
    }
    const auto index = static_cast<std::size_t>(kind);
    if (this->lines[index] >= this->options.linesPerSecond[index]) {
        return false;
    }
    ++this->lines[index];
    return true;
}

void EventLog::write(LogKind kind, std::string_view event, std::initializer_list<LogField> fields)
{
    const std::lock_guard lock(this->mutex);
    const TimePoint now = this->clock.now();
    if (!this->admit(kind, now)) {
        ++this->droppedTotal;
        ++this->droppedUntold;
        return;
    }
    std::string line =
        absl::StrCat("{\"wallMs\":", wholeMillis(this->clock.wallNow().time_since_epoch()),
                     ",\"steadyMs\":", wholeMillis(now.time_since_epoch()),
                     ",\"instance\":", quoted(this->instance), ",\"event\":", quoted(event));
    for (const LogField &field : fields) {
        absl::StrAppend(&line, ",", quoted(field.name), ":", printValue(field));
    }
    if (this->droppedUntold > 0) {
        absl::StrAppend(&line, ",\"linesDropped\":", this->droppedUntold);
    }
    line += "}\n";
    if (this->output.write(line)) {
        this->droppedUntold = 0;
    } else {
        ++this->droppedTotal;
        ++this->droppedUntold;
    }
}

std::int64_t EventLog::dropped() const
{
    const std::lock_guard lock(this->mutex);
    return this->droppedTotal;
}

} // namespace basilnotch
