// A fleet on slow links in which a large record changes again and again, on a paused clock: how
// long the new versions take to all instances and what the instances send.
#include <replica/RecordFetch.h>
#include <replica/RecordSource.h>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace basilnotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double kLinkBytesPerSecond = 1'250'000; // 10 Mbit/s.
constexpr Duration kLatency = milliseconds(4);
constexpr Duration kCallTimeout = seconds(2);
constexpr int kWatchers = 8;
/// The bound within which a configuration is in force.
constexpr Duration kApplyTime = seconds(2);
/// Of a link, sent for records in any second.
constexpr double kLinkShare = 0.5;
constexpr RecordVersion kFirstVersion = 100;

RecordKey key()
{
    return {"op", "config"};
}

std::string route(std::mt19937 &random)
{
    const auto word = [&](int letters) {
        std::string text;
        for (int at = 0; at < letters; ++at) {
            text.push_back(static_cast<char>('a' + random() % 26));
        }
        return text;
    };
    return absl::StrCat(
        R"({"name":"r-)", word(7), R"(","host":")", word(4), random() % 90 + 10,
        R"(.example","prefix":"/)", word(4), random() % 900 + 100,
        R"(/","kind":"streaming","timeout_ms":15000,"goal_ms":4000,"priority":)", random() % 3,
        R"(,"service":"s)", random() % 4,
        R"(","max_attempts":3,"public":false,"sticky":true,"resumes":true,"gap_target_ms":2500})");
}

/// The values of a record that grows by many routes and then changes by one each time.
std::vector<std::string> growingValues(int changes)
{
    constexpr int kRoutesBefore = 12;
    constexpr int kRoutesAfter = 1700;
    std::mt19937 random(7);
    std::vector<std::string> routes;
    std::vector<std::string> values;
    for (int version = 0; version <= changes; ++version) {
        const int count = version == 0 ? kRoutesBefore : kRoutesAfter;
        while (static_cast<int>(routes.size()) < count) {
            routes.push_back(route(random));
        }
        routes[random() % routes.size()] = route(random);
        std::string value =
            absl::StrCat(R"({"version":)", kFirstVersion + version, R"(,"routes":[)");
        for (const std::string &item : routes) {
            absl::StrAppend(&value, item, ",");
        }
        values.push_back(value + "]}");
    }
    return values;
}

struct Instance
{
    Instance(std::string name, const Clock &clock)
        : name(std::move(name))
        , source(this->replica, {}, clock)
    { }

    const std::string name;
    Replica replica;
    RecordSource source;
    std::unique_ptr<RecordFetch> fetch;
    TimePoint wakeAt = TimePoint::max();
    TimePoint upFreeAt{};
    TimePoint downFreeAt{};
    bool isCut = false;
    std::uint64_t sentBytes = 0;
    std::map<std::int64_t, double> sentInSecond;
    std::vector<TimePoint> knownAt; ///< By change; when this instance had it or a later one.
};

class Fleet
{
public:
    Fleet(int size, int changes)
        : values(growingValues(changes))
    {
        for (int number = 0; number < size; ++number) {
            this->instances.push_back(
                std::make_unique<Instance>(absl::StrCat("i", number), this->clock));
            Instance &instance = *this->instances.back();
            instance.replica.merge({key(), this->values[0], kFirstVersion, false});
            instance.knownAt.assign(values.size(), TimePoint::max());
            this->byName[instance.name] = &instance;
        }
    }

    /// Each instance learns of the version after some gossip; the watchers read it from the store.
    void change(int number)
    {
        this->changedAt[number] = this->clock.now();
        const std::string &value = this->values[number];
        const RecordVersion version = kFirstVersion + static_cast<RecordVersion>(number);
        for (std::size_t at = 0; at < this->instances.size(); ++at) {
            Instance &instance = *this->instances[at];
            if (at < kWatchers) {
                // Values have four thirds of their size in the store's answers.
                const auto bytes = static_cast<double>(value.size()) * 4 / 3;
                this->after(fromSeconds(bytes / kLinkBytesPerSecond), [this, &instance, number] {
                    this->learn(instance, this->recordOf(number));
                });
            } else {
                this->after(milliseconds(150 + this->random() % 450),
                            [this, &instance, version] { this->hear(instance, version); });
            }
        }
    }

    void run(Duration time)
    {
        const TimePoint until = this->clock.now() + time;
        while (!this->events.empty() && this->events.begin()->first <= until) {
            const auto event = this->events.extract(this->events.begin());
            this->clock.advance(std::max(Duration::zero(), event.key() - this->clock.now()));
            event.mapped()();
        }
        this->clock.advance(until - this->clock.now());
    }

    void after(Duration delay, std::function<void()> work)
    {
        this->events.emplace(this->clock.now() + delay, std::move(work));
    }

    /// Longest time from a change until an instance that was never cut had it.
    Duration slowest(int number) const
    {
        Duration slowest{};
        for (const auto &instance : this->instances) {
            if (!this->wasCut(*instance)) {
                slowest = std::max(slowest,
                                   instance->knownAt[static_cast<std::size_t>(number)]
                                       - this->changedAt.at(number));
            }
        }
        return slowest;
    }

    bool allHave(int number) const
    {
        return std::all_of(this->instances.begin(), this->instances.end(), [&](const auto &item) {
            return item->replica.find(key())->value
                == this->values[static_cast<std::size_t>(number)];
        });
    }

    /// Most that an instance has sent in one second.
    double busiestSecond() const
    {
        double most = 0;
        for (const auto &instance : this->instances) {
            for (const auto &[second, bytes] : instance->sentInSecond) {
                most = std::max(most, bytes);
            }
        }
        return most;
    }

    double meanBytesPerSecond(Duration time) const
    {
        std::uint64_t bytes = 0;
        for (const auto &instance : this->instances) {
            bytes += instance->sentBytes;
        }
        return static_cast<double>(bytes) / static_cast<double>(this->instances.size())
            / toSeconds(time);
    }

    /// Cuts the links of every eighth instance that is no watcher, and of one watcher.
    void setCut(bool isCut)
    {
        for (std::size_t at = kWatchers - 1; at < this->instances.size(); at += kWatchers) {
            this->instances[at]->isCut = isCut;
            this->cut.push_back(this->instances[at].get());
        }
    }

private:
    Record recordOf(int number) const
    {
        return {key(), this->values[static_cast<std::size_t>(number)],
                kFirstVersion + static_cast<RecordVersion>(number), false};
    }

    bool wasCut(const Instance &instance) const
    {
        return std::find(this->cut.begin(), this->cut.end(), &instance) != this->cut.end();
    }

    void learn(Instance &instance, const Record &record)
    {
        if (instance.isCut) {
            this->after(milliseconds(500),
                        [this, &instance, record] { this->learn(instance, record); });
            return;
        }
        if (instance.replica.merge(record)) {
            for (std::size_t at = 0; at <= record.version - kFirstVersion; ++at) {
                instance.knownAt[at] = std::min(instance.knownAt[at], this->clock.now());
            }
        }
    }

    void hear(Instance &instance, RecordVersion version)
    {
        if (instance.isCut) {
            this->after(milliseconds(500),
                        [this, &instance, version] { this->hear(instance, version); });
        } else if (instance.fetch) {
            instance.fetch->raise(version);
        } else if (instance.replica.find(key())->version < version) {
            instance.fetch = std::make_unique<RecordFetch>(
                key(), version, instance.name, instance.replica, [this] { return this->names(); },
                RecordFetchOptions(), this->clock, this->random());
            this->step(instance);
        }
    }

    /// Watchers first, then the others; twelve in all.
    std::vector<std::string> names()
    {
        constexpr std::size_t kMaxNames = 12;
        std::vector<std::string> names;
        for (const auto &instance : this->instances) {
            names.push_back(instance->name);
        }
        std::shuffle(names.begin(), names.begin() + kWatchers, this->random);
        std::shuffle(names.begin() + kWatchers, names.end(), this->random);
        names.resize(std::min(names.size(), kMaxNames));
        return names;
    }

    void step(Instance &instance)
    {
        if (!instance.fetch) {
            return;
        }
        if (const std::optional<Record> record = instance.fetch->takeRecord()) {
            this->learn(instance, *record);
        }
        if (instance.fetch->isDone()) {
            instance.fetch.reset();
            return;
        }
        RecordFetchStep next = instance.fetch->next();
        for (RecordAsk &ask : next.asks) {
            this->call(instance, std::move(ask));
        }
        instance.wakeAt = next.wakeAt;
        this->after(next.wakeAt - this->clock.now(), [this, &instance, at = next.wakeAt] {
            if (instance.wakeAt == at) {
                this->step(instance);
            }
        });
    }

    void call(Instance &from, RecordAsk ask)
    {
        Instance &to = *this->byName.at(ask.peer);
        const auto answered = std::make_shared<bool>(false);
        this->after(kCallTimeout, [this, &from, answered, peer = ask.peer] {
            if (!std::exchange(*answered, true) && from.fetch) {
                from.fetch->onFailure(peer);
                this->step(from);
            }
        });
        const std::string text = encodeRequest(ask.request);
        this->send(from, to, text.size(), [this, &from, &to, text, answered] {
            const RecordReply reply = to.source.answer(*decodeRequest(text));
            const std::string replyText = encodeReply(reply);
            this->send(to, from, replyText.size(), [this, &from, &to, answered, replyText] {
                if (!std::exchange(*answered, true) && from.fetch) {
                    from.fetch->onReply(to.name, *decodeReply(replyText));
                    this->step(from);
                }
            });
        });
    }

    void send(Instance &from, Instance &to, std::size_t bytes, std::function<void()> arrive)
    {
        const TimePoint now = this->clock.now();
        const Duration onLink = fromSeconds(static_cast<double>(bytes) / kLinkBytesPerSecond);
        const TimePoint beginsAt = std::max(now, from.upFreeAt);
        from.upFreeAt = beginsAt + onLink;
        from.sentBytes += bytes;
        from.sentInSecond[wholeMillis(beginsAt.time_since_epoch()) / 1000] +=
            static_cast<double>(bytes);
        to.downFreeAt = std::max(beginsAt + kLatency, to.downFreeAt) + onLink;
        this->after(to.downFreeAt - now, [&from, &to, arrive = std::move(arrive)] {
            if (!from.isCut && !to.isCut) {
                arrive();
            }
        });
    }

    ManualClock clock;
    std::mt19937_64 random{3};
    const std::vector<std::string> values; ///< By change; the first one is known at the start.
    std::vector<std::unique_ptr<Instance>> instances;
    std::map<std::string, Instance *> byName;
    std::vector<const Instance *> cut;
    std::map<int, TimePoint> changedAt;
    std::multimap<TimePoint, std::function<void()>> events;
};

void checkFleet(int size, int changes, bool withCuts)
{
    Fleet fleet(size, changes);
    if (withCuts) {
        fleet.after(milliseconds(1200), [&] { fleet.setCut(true); });
        fleet.after(milliseconds(4200), [&] { fleet.setCut(false); });
    }
    for (int number = 1; number <= changes; ++number) {
        fleet.change(number);
        fleet.run(seconds(1));
    }
    fleet.run(kApplyTime + seconds(1));
    const Duration time = seconds(changes) + kApplyTime + seconds(1);
    for (int number = 1; number <= changes; ++number) {
        INFO("change " << number << " took " << wholeMillis(fleet.slowest(number)) << " ms");
        CHECK(fleet.slowest(number) <= kApplyTime);
    }
    CHECK(fleet.allHave(changes));
    CHECK(fleet.busiestSecond() <= kLinkShare * kLinkBytesPerSecond);
    constexpr double kMaxMeanBytes = 18'000; // For all that an instance tells the others.
    CHECK(fleet.meanBytesPerSecond(time) <= kMaxMeanBytes);
}

} // namespace

// Guards against a flood of fetches of a large record that takes all links and never ends.
TEST_CASE("a large record that changes each second reaches 91 instances on slow links in time")
{
    checkFleet(91, 10, false);
}

TEST_CASE("a large record reaches the fleet in time while links are cut")
{
    checkFleet(91, 10, true);
}

TEST_CASE("a large record reaches 380 instances within their bytes a second")
{
    checkFleet(380, 4, false);
}
