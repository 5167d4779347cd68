// Registry of plug-ins by name; settings select a plug-in by that name.
#pragma once

#include <base/Failure.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace basilnotch {

/// Factories of one interface. Registration objects fill it before main(); it is read-only
/// afterwards and may then be read from any thread.
///
///     const Registration<RoutingPolicy, PolicyContext> fastest("fastest", [](const auto &context)
///     { ... }); auto policy = Registry<RoutingPolicy, PolicyContext>::instance().make("fastest",
///     context);
template <typename Interface, typename Context>
class Registry
{
public:
    using Factory = std::function<std::unique_ptr<Interface>(const Context &)>;

    static Registry &instance()
    {
        static Registry registry;
        return registry;
    }

    void add(std::string name, Factory factory)
    {
        this->factories[std::move(name)] = std::move(factory);
    }

    bool has(std::string_view name) const { return this->factories.contains(name); }

    /// Returns null when no plug-in has that name.
    std::unique_ptr<Interface> make(std::string_view name, const Context &context) const
    {
        const auto found = this->factories.find(name);
        return found == this->factories.end() ? nullptr : found->second(context);
    }

    /// Returns one object of every plug-in, ordered by name.
    std::vector<std::unique_ptr<Interface>> makeAll(const Context &context) const
    {
        std::vector<std::unique_ptr<Interface>> all;
        for (const auto &[name, factory] : this->factories) {
            all.push_back(factory(context));
        }
        return all;
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> result;
        for (const auto &[name, factory] : this->factories) {
            result.push_back(name);
        }
        return result;
    }

private:
    std::map<std::string, Factory, std::less<>> factories;
};

/// Registers a plug-in; define it as a constant at namespace scope in the plug-in's source file.
template <typename Interface, typename Context>
struct Registration
{
    Registration(std::string name, typename Registry<Interface, Context>::Factory factory)
    {
        Registry<Interface, Context>::instance().add(std::move(name), std::move(factory));
    }
};

} // namespace basilnotch
