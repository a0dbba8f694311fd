#pragma once

#include "http/client.h"
#include "store/http_store.h"
#include "wire/peer_link.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almond::ctl {

using nlohmann::json;

//! What the command line asks for.
struct control_options
{
    std::vector<std::string> words;
    std::string storeAddress;
    std::vector<std::string> schedulers;
    std::string author = "operator";
    std::string file;
    //! Version that a patch is written against; none takes the newest one.
    std::optional<std::uint64_t> base;
    //! Identifies a submission that is asked about again.
    std::string submission;
    std::string phase;
    bool asJson = false;
};

//! One run of almondctl: its options and its ways to the store and the schedulers.
struct control_session
{
    control_options options;
    std::unique_ptr<store::http_store> platform;
    store::store_api store;
    std::unique_ptr<wire::peer_link> peers;
    std::unique_ptr<http::connection_pool> pool;

    //! Returns word \a index of the command line, or an empty string.
    std::string word(std::size_t index) const
    {
        return index < options.words.size() ? options.words[index] : std::string();
    }
};

//! Prints \a value as JSON, or the lines \a text, as the options ask.
void print(const control_session &session, const json &value, const std::string &text);
//! Prints an error, as JSON if the options ask for it; returns \a status.
int fail(const control_session &session, int status, const std::string &text,
         const json &details = json::object());

//! Calls \a method at the first scheduler that answers.
kernel::task<std::optional<json>> callScheduler(control_session &session, std::string method, json arguments);

//! The commands. Each returns the exit status.
kernel::task<int> runConfigCommand(control_session &session);
kernel::task<int> runDomainCommand(control_session &session);
kernel::task<int> runJobCommand(control_session &session);
kernel::task<int> runDumpCommand(control_session &session);

//! Submits \a patch against the base that the options name, or the newest version; prints what became of it.
kernel::task<int> submitAndReport(control_session &session, json patch);

} // namespace almond::ctl
