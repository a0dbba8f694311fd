#pragma once

#include <QAbstractEventDispatcher>
#include <QObject>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <unordered_map>

namespace almond::kernel {

//! Qt event dispatcher that runs on a Boost.Asio io_context, so that both libraries share one thread and one
//! event loop. No other code connects the two.
class asio_event_dispatcher final : public QAbstractEventDispatcher
{
    Q_OBJECT

public:
    explicit asio_event_dispatcher(boost::asio::io_context &context);
    ~asio_event_dispatcher() override;

    bool processEvents(QEventLoop::ProcessEventsFlags flags) override;

    void registerSocketNotifier(QSocketNotifier *notifier) override;
    void unregisterSocketNotifier(QSocketNotifier *notifier) override;

    void registerTimer(int timerId, qint64 interval, Qt::TimerType timerType, QObject *object) override;
    bool unregisterTimer(int timerId) override;
    bool unregisterTimers(QObject *object) override;
    QList<TimerInfo> registeredTimers(QObject *object) const override;
    int remainingTime(int timerId) override;

    void wakeUp() override;
    void interrupt() override;

private:
    struct qt_timer
    {
        explicit qt_timer(boost::asio::io_context &context)
            : asioTimer(context)
        {
        }
        boost::asio::steady_timer asioTimer;
        qint64 interval = 0;
        Qt::TimerType type = Qt::CoarseTimer;
        QObject *object = nullptr;
    };
    struct notifier_watch
    {
        explicit notifier_watch(boost::asio::io_context &context)
            : descriptor(context)
        {
        }
        boost::asio::posix::stream_descriptor descriptor;
        QSocketNotifier *notifier = nullptr;
    };

    void armTimer(int timerId, const std::shared_ptr<qt_timer> &timer);
    void armNotifier(const std::shared_ptr<notifier_watch> &watch);

    boost::asio::io_context &m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    std::unordered_map<int, std::shared_ptr<qt_timer>> m_timers;
    std::unordered_map<QSocketNotifier *, std::shared_ptr<notifier_watch>> m_notifiers;
    bool m_interrupted = false;
};

} // namespace almond::kernel
