// Command line of the stand-ins: one process for each thing that the product meets.
#include "CuttingRelay.h"
#include "EngineStandin.h"
#include "LoadTool.h"
#include "PlatformStandin.h"
#include "ServiceStandin.h"

#include <absl/strings/str_split.h>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

namespace {

using namespace basilnotch;
namespace options = boost::program_options;

constexpr char kUsage[] = R"(basilnotch-standins: stand-ins for tests and the demo

  platform --listen A:P
  engine   --listen A:P --loaded MODEL@VERSION[,...] [--fencing] [--platform A:P] [--step-ms N]
           [--first-ms N] [--slots N]
  service  --listen A:P
  load     --entries A:P[,...] --platform A:P --key KEY [--task T] [--callers N] [--requests N]
           [--cancel SHARE] [--seed N] [--name WORD]
)";

std::vector<Endpoint> readEndpoints(const std::string &text)
{
    std::vector<Endpoint> endpoints;
    const std::vector<std::string> parts = absl::StrSplit(text, ',', absl::SkipEmpty());
    for (const std::string &part : parts) {
        Endpoint endpoint;
        if (parseEndpoint(part, &endpoint)) {
            endpoints.push_back(endpoint);
        }
    }
    return endpoints;
}

Endpoint readEndpoint(const options::variables_map &given, const char *name)
{
    const std::vector<Endpoint> endpoints = readEndpoints(given[name].as<std::string>());
    return endpoints.empty() ? Endpoint{} : endpoints.front();
}

int serve(FiberRuntime &runtime, StandinServer &server)
{
    const absl::Status started = server.start();
    if (!started.ok()) {
        std::cerr << describe(started) << "\n";
        return 1;
    }
    runtime.run();
    return 0;
}

int runLoadTool(FiberRuntime &runtime, const options::variables_map &given)
{
    LoadOptions load;
    load.seeds = readEndpoints(given["entries"].as<std::string>());
    load.platform = readEndpoint(given, "platform");
    load.key = given["key"].as<std::string>();
    load.task = given["task"].as<std::string>();
    load.callers = given["callers"].as<int>();
    load.requestsPerCaller = given["requests"].as<int>();
    load.cancelShare = given["cancel"].as<double>();
    load.seed = given["seed"].as<std::uint64_t>();
    LoadResult result;
    runtime.post([&] {
        result = runLoad(runtime, load);
        runtime.stop();
    });
    runtime.run();
    std::cout << given["name"].as<std::string>() << ": " << result.line() << std::endl;
    std::_Exit(result.good() ? 0 : 1);
}

int runCommand(const std::string &command, const options::variables_map &given)
{
    FiberRuntime runtime;
    const Endpoint listen = readEndpoint(given, "listen");
    if (command == "platform") {
        PlatformStandin platform(runtime, listen);
        return serve(runtime, platform);
    }
    if (command == "engine") {
        EngineOptions engine;
        const std::vector<std::string> loaded =
            absl::StrSplit(given["loaded"].as<std::string>(), ',', absl::SkipEmpty());
        engine.loaded = {loaded.begin(), loaded.end()};
        engine.checksFencing = given.count("fencing") > 0;
        engine.step = milliseconds(given["step-ms"].as<int>());
        engine.firstToken = milliseconds(given["first-ms"].as<int>());
        engine.slots = given["slots"].as<int>();
        engine.platform = readEndpoint(given, "platform");
        EngineStandin standin(runtime, listen, engine);
        return serve(runtime, standin);
    }
    if (command == "service") {
        ServiceStandin service(runtime, listen);
        return serve(runtime, service);
    }
    if (command == "load") {
        return runLoadTool(runtime, given);
    }
    std::cerr << kUsage;
    return 2;
}

} // namespace

int main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    options::options_description all("options");
    auto add = all.add_options();
    add("command", options::value<std::string>()->default_value(""));
    add("listen", options::value<std::string>()->default_value(""));
    add("loaded", options::value<std::string>()->default_value(""));
    add("fencing", "checks fencing numbers");
    add("step-ms", options::value<int>()->default_value(4));
    add("first-ms", options::value<int>()->default_value(10));
    add("slots", options::value<int>()->default_value(48));
    add("platform", options::value<std::string>()->default_value(""));
    add("entries", options::value<std::string>()->default_value(""));
    add("key", options::value<std::string>()->default_value(""));
    add("task", options::value<std::string>()->default_value("answer"));
    add("callers", options::value<int>()->default_value(8));
    add("requests", options::value<int>()->default_value(10));
    add("cancel", options::value<double>()->default_value(0.5));
    add("seed", options::value<std::uint64_t>()->default_value(1));
    add("name", options::value<std::string>()->default_value("load"));
    options::positional_options_description positional;
    positional.add("command", 1);
    try {
        options::variables_map given;
        options::store(
            options::command_line_parser(argc, argv).options(all).positional(positional).run(),
            given);
        return runCommand(given["command"].as<std::string>(), given);
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n" << kUsage;
        return 2;
    }
}
