#include "kernel/asio_event_dispatcher.h"

#include <QCoreApplication>
#include <QEvent>
#include <QSocketNotifier>
#include <QTimerEvent>

#include <boost/asio/post.hpp>

#include <chrono>
#include <unistd.h>

namespace almond::kernel {

namespace asio = boost::asio;

namespace {

asio::posix::stream_descriptor::wait_type waitTypeOf(const QSocketNotifier &notifier)
{
    switch (notifier.type()) {
    case QSocketNotifier::Read:
        return asio::posix::stream_descriptor::wait_read;
    case QSocketNotifier::Write:
        return asio::posix::stream_descriptor::wait_write;
    default:
        return asio::posix::stream_descriptor::wait_error;
    }
}

} // namespace

asio_event_dispatcher::asio_event_dispatcher(asio::io_context &context)
    : m_context(context)
    , m_workGuard(asio::make_work_guard(context))
{
}

asio_event_dispatcher::~asio_event_dispatcher() = default;

bool asio_event_dispatcher::processEvents(QEventLoop::ProcessEventsFlags flags)
{
    m_interrupted = false;
    Q_EMIT awake();
    QCoreApplication::sendPostedEvents();
    std::size_t handled = m_context.poll();
    const bool mayWait = flags.testFlag(QEventLoop::WaitForMoreEvents);
    if (handled == 0 && mayWait && !m_interrupted) {
        Q_EMIT aboutToBlock();
        handled = m_context.run_one();
        Q_EMIT awake();
    }
    QCoreApplication::sendPostedEvents();
    return handled > 0;
}

void asio_event_dispatcher::registerSocketNotifier(QSocketNotifier *notifier)
{
    auto watch = std::make_shared<notifier_watch>(m_context);
    watch->notifier = notifier;
    // Asio's reactor allows one registration per descriptor, but Qt may have several notifiers for it: each
    // notifier gets a duplicate of the descriptor.
    watch->descriptor.assign(::dup(static_cast<int>(notifier->socket())));
    m_notifiers[notifier] = watch;
    armNotifier(watch);
}

void asio_event_dispatcher::unregisterSocketNotifier(QSocketNotifier *notifier)
{
    const auto found = m_notifiers.find(notifier);
    if (found == m_notifiers.end())
        return;
    found->second->notifier = nullptr;
    boost::system::error_code ignored;
    found->second->descriptor.close(ignored);
    m_notifiers.erase(found);
}

void asio_event_dispatcher::armNotifier(const std::shared_ptr<notifier_watch> &watch)
{
    watch->descriptor.async_wait(waitTypeOf(*watch->notifier),
                                 [this, watch](boost::system::error_code error) {
                                     if (error || !watch->notifier)
                                         return;
                                     QEvent event(QEvent::SockAct);
                                     QCoreApplication::sendEvent(watch->notifier, &event);
                                     if (watch->notifier)
                                         armNotifier(watch);
                                 });
}

void asio_event_dispatcher::registerTimer(int timerId, qint64 interval, Qt::TimerType timerType,
                                          QObject *object)
{
    auto timer = std::make_shared<qt_timer>(m_context);
    timer->interval = interval;
    timer->type = timerType;
    timer->object = object;
    m_timers[timerId] = timer;
    armTimer(timerId, timer);
}

void asio_event_dispatcher::armTimer(int timerId, const std::shared_ptr<qt_timer> &timer)
{
    timer->asioTimer.expires_after(std::chrono::milliseconds(timer->interval));
    timer->asioTimer.async_wait([this, timerId, timer](boost::system::error_code error) {
        if (error || !timer->object)
            return;
        QTimerEvent event(timerId);
        QCoreApplication::sendEvent(timer->object, &event);
        if (timer->object)
            armTimer(timerId, timer);
    });
}

bool asio_event_dispatcher::unregisterTimer(int timerId)
{
    const auto found = m_timers.find(timerId);
    if (found == m_timers.end())
        return false;
    found->second->object = nullptr;
    found->second->asioTimer.cancel();
    m_timers.erase(found);
    return true;
}

bool asio_event_dispatcher::unregisterTimers(QObject *object)
{
    bool removed = false;
    for (const TimerInfo &info : registeredTimers(object))
        removed = unregisterTimer(info.timerId) || removed;
    return removed;
}

QList<QAbstractEventDispatcher::TimerInfo> asio_event_dispatcher::registeredTimers(QObject *object) const
{
    QList<TimerInfo> infos;
    for (const auto &[timerId, timer] : m_timers) {
        if (timer->object == object)
            infos.append(TimerInfo(timerId, static_cast<int>(timer->interval), timer->type));
    }
    return infos;
}

int asio_event_dispatcher::remainingTime(int timerId)
{
    const auto found = m_timers.find(timerId);
    if (found == m_timers.end())
        return -1;
    const auto left = found->second->asioTimer.expiry() - asio::steady_timer::clock_type::now();
    return static_cast<int>(
        std::max<qint64>(0, std::chrono::duration_cast<std::chrono::milliseconds>(left).count()));
}

void asio_event_dispatcher::wakeUp()
{
    asio::post(m_context, [] {});
}

void asio_event_dispatcher::interrupt()
{
    m_interrupted = true;
    wakeUp();
}

} // namespace almond::kernel
