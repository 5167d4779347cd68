// One timer for all connections; it runs only while there are any.
#include "DeliveryWatch.h"

#include <runtime/FiberRuntime.h>

#include <boost/asio/steady_timer.hpp>

#include <vector>

namespace basilnotch {

namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(500);

} // namespace

/// Shared by the connection and the watch; either may end first.
struct WatchedConnection::Registration
{
    WatchedConnection *connection; ///< Null once the connection has ended.
};

WatchedConnection::~WatchedConnection()
{
    if (this->registration) {
        this->registration->connection = nullptr;
    }
}

struct DeliveryWatch::State : std::enable_shared_from_this<DeliveryWatch::State>
{
    explicit State(FiberRuntime &runtime)
        : timer(runtime.context())
    { }

    void startTimer();
    void check();
    static bool checkOne(WatchedConnection &connection, TimePoint now);

    boost::asio::steady_timer timer;
    bool isRunning = false; ///< Invariant: true while `registrations` is not empty.
    std::vector<std::shared_ptr<WatchedConnection::Registration>> registrations;
};

void DeliveryWatch::State::startTimer()
{
    this->isRunning = true;
    this->timer.expires_after(
        std::chrono::duration_cast<boost::asio::steady_timer::duration>(kCheckInterval));
    this->timer.async_wait([weak = this->weak_from_this()](const boost::system::error_code &error) {
        const std::shared_ptr<State> self = weak.lock();
        if (self && !error) {
            self->check();
        }
    });
}

bool DeliveryWatch::State::checkOne(WatchedConnection &connection, TimePoint now)
{
    DeliveryProgress::Result result;
    const std::optional<SendQueueState> queue = readSendQueue(connection.socketHandle());
    if (queue) {
        result = connection.progress.update(*queue, connection.writtenBytes(), now);
    } else {
        result.isComplete = true;
    }
    return connection.onDelivery(result, now);
}

void DeliveryWatch::State::check()
{
    const TimePoint now = SystemClock().now();
    std::erase_if(this->registrations, [now](const auto &registration) {
        WatchedConnection *connection = registration->connection;
        if (connection && checkOne(*connection, now)) {
            return false;
        }
        if (connection) {
            connection->registration.reset();
        }
        return true;
    });
    this->isRunning = false;
    if (!this->registrations.empty()) {
        this->startTimer();
    }
}

DeliveryWatch::DeliveryWatch(FiberRuntime &runtime)
    : state(std::make_shared<State>(runtime))
{ }

DeliveryWatch::~DeliveryWatch()
{
    for (const auto &registration : this->state->registrations) {
        if (registration->connection) {
            registration->connection->registration.reset();
        }
    }
}

void DeliveryWatch::add(WatchedConnection &connection)
{
    if (connection.registration) {
        return;
    }
    connection.registration = std::make_shared<WatchedConnection::Registration>(
        WatchedConnection::Registration{&connection});
    this->state->registrations.push_back(connection.registration);
    if (!this->state->isRunning) {
        this->state->startTimer();
    }
}

} // namespace basilnotch
