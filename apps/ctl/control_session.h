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

//! Options and arguments of the command line.
struct control_options
{
    //! The command and its arguments.
    std::vector<std::string> words;
    std::string storeAddress;
    std::vector<std::string> schedulers;
    std::string author = "operator";
    std::string file;
    //! Version to which a patch applies; the newest if empty.
    std::optional<std::uint64_t> base;
    //! Id of the submission. Repeating a submission under the same id reports its outcome without applying it
    //! twice.
    std::string submission;
    //! Phase to which a list of jobs is limited; empty for all.
    std::string phase;
    bool asJson = false;
};

//! One run of almondctl: its options and its clients of the store, the schedulers and HTTP.
struct control_session
{
    control_options options;
    std::unique_ptr<store::http_store> storeClient;
    store::store_api store;
    std::unique_ptr<wire::peer_link> peers;
    std::unique_ptr<http::connection_pool> pool;

    //! Returns word \a index of the command line, or an empty string.
    std::string word(std::size_t index) const
    {
        return index < options.words.size() ? options.words[index] : std::string();
    }
};

//! Prints \a value with --json, else \a text.
void print(const control_session &session, const json &value, const std::string &text);
//! Prints the error \a text to standard error; with --json also prints \a details with it to standard output.
//! Returns \a status.
int fail(const control_session &session, int status, const std::string &text,
         const json &details = json::object());

//! Calls \a method on the schedulers in turn and returns the first result. Retries while schedulers respond
//! without a result; empty if none responds or the retries time out.
kernel::task<std::optional<json>> callScheduler(control_session &session, std::string method, json arguments);

//! Run one command each and return the exit status.
kernel::task<int> runConfigCommand(control_session &session);
kernel::task<int> runDomainCommand(control_session &session);
kernel::task<int> runJobCommand(control_session &session);
kernel::task<int> runDumpCommand(control_session &session);

//! Submits \a patch to the base version in the options, or to the newest version, and prints the outcome.
//! Returns the exit status.
kernel::task<int> submitAndReport(control_session &session, json patch);

} // namespace almond::ctl
