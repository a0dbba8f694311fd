#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace almond::observe {

//! Exports counters and sizes that a process keeps as plain numbers to Prometheus. update() reads the
//! numbers and is called when metrics are collected.
class counter_export
{
public:
    explicit counter_export(std::shared_ptr<prometheus::Registry> registry)
        : m_registry(std::move(registry))
    {
    }

    //! Adds the counter \a name; \a read returns its current value, which must not decrease.
    void counter(const std::string &name, const std::string &help, std::function<std::uint64_t()> read)
    {
        prometheus::Counter &metric
            = prometheus::BuildCounter().Name(name).Help(help).Register(*m_registry).Add({});
        m_updates.emplace_back([&metric, read = std::move(read)] {
            metric.Increment(static_cast<double>(read()) - metric.Value());
        });
    }

    //! Adds the gauge \a name; \a read returns its current value.
    void gauge(const std::string &name, const std::string &help, std::function<double()> read)
    {
        prometheus::Gauge &metric
            = prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry).Add({});
        m_updates.emplace_back([&metric, read = std::move(read)] { metric.Set(read()); });
    }

    //! Copies the current values to the metrics.
    void update() const
    {
        for (const auto &updateMetric : m_updates)
            updateMetric();
    }

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    std::vector<std::function<void()>> m_updates;
};

} // namespace almond::observe
