#pragma once

#include <any>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace almond::kernel {

//! Service registry of the process: services look each other up by name and depend only on interfaces.
class registry
{
public:
    //! Registers \a service as \a name. Throws std::logic_error if the name is already registered.
    template<typename T>
    void provide(std::string_view name, std::shared_ptr<T> service)
    {
        const bool inserted = m_services.emplace(std::string(name), std::any(std::move(service))).second;
        if (!inserted)
            throw std::logic_error("service registered twice: " + std::string(name));
    }

    //! Returns the service \a name. Throws std::logic_error if there is none or its type is not T.
    template<typename T>
    std::shared_ptr<T> find(std::string_view name) const
    {
        const auto found = m_services.find(name);
        if (found == m_services.end())
            throw std::logic_error("no such service: " + std::string(name));
        const auto *service = std::any_cast<std::shared_ptr<T>>(&found->second);
        if (!service)
            throw std::logic_error("service registered with another type: " + std::string(name));
        return *service;
    }

private:
    std::map<std::string, std::any, std::less<>> m_services;
};

} // namespace almond::kernel
