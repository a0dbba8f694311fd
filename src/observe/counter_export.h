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

//! Shows plain counters and sizes of a process as metrics; they are read when metrics are collected.
class counter_export
{
public:
    explicit counter_export(std::shared_ptr<prometheus::Registry> registry)
        : m_registry(std::move(registry))
    {
    }

    //! Adds the counter \a name, whose present value \a read returns.
    void counter(const std::string &name, const std::string &help, std::function<std::uint64_t()> read)
    {
        prometheus::Counter &target
            = prometheus::BuildCounter().Name(name).Help(help).Register(*m_registry).Add({});
        m_updates.emplace_back([&target, read = std::move(read)] {
            target.Increment(static_cast<double>(read()) - target.Value());
        });
    }

    //! Adds the gauge \a name, whose present value \a read returns.
    void gauge(const std::string &name, const std::string &help, std::function<double()> read)
    {
        prometheus::Gauge &target
            = prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry).Add({});
        m_updates.emplace_back([&target, read = std::move(read)] { target.Set(read()); });
    }

    //! Takes the present values over.
    void update() const
    {
        for (const auto &step : m_updates)
            step();
    }

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    std::vector<std::function<void()>> m_updates;
};

} // namespace almond::observe
