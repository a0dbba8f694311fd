#pragma once

#include "placement/types.h"

#include <span>
#include <variant>
#include <vector>

namespace almond::placement {

//! A scheduler took the cell over. The index of its entry is the cell's new epoch.
struct owner_record
{
    std::string owner;
    std::int64_t atMs = 0;
};

//! A worker joined, or came back as a new incarnation.
struct worker_record
{
    std::string worker;
    std::string incarnation;
    std::string address;
    std::string rack;
    resources capacity;
};

//! A job came in, from its submitter or from another cell.
struct admitted_record
{
    job_spec spec;
    std::int64_t atMs = 0;
    //! Attempts made in other cells.
    std::uint32_t attempt = 0;
    std::uint32_t failures = 0;
    std::string checkpoint;
    //! How often the job moved between cells; makes a repeated move idempotent.
    std::uint32_t hops = 0;
};

//! The next attempt at a job belongs to a worker.
struct assigned_record
{
    std::string job;
    std::string worker;
    std::int64_t atMs = 0;
};

//! An attempt is over for certain.
struct ended_record
{
    attempt_id id;
    attempt_outcome outcome = attempt_outcome::done;
    std::string checkpoint;
    std::int64_t atMs = 0;
};

//! The submitter cancelled the job; a running attempt is still to be stopped.
struct cancelled_record
{
    std::string job;
    std::int64_t atMs = 0;
};

//! No worker can ever hold the job.
struct impossible_record
{
    std::string job;
    std::string reason;
    std::int64_t atMs = 0;
};

//! The job is being handed to another cell and may already be there.
struct move_started_record
{
    std::string job;
    std::string target;
    std::int64_t atMs = 0;
};

//! The other cell has the job.
struct move_finished_record
{
    std::string job;
    std::int64_t atMs = 0;
};

//! Jobs that ended longer ago than the retention time.
struct forgotten_record
{
    std::vector<std::string> jobs;
};

using cell_record = std::variant<owner_record, worker_record, admitted_record, assigned_record, ended_record,
                                 cancelled_record, impossible_record, move_started_record,
                                 move_finished_record, forgotten_record>;

//! Encodes records for a journal entry.
json encodeRecords(std::span<const cell_record> records);
//! Inverse of encodeRecords(). Throws nlohmann::json::exception on a malformed entry.
std::vector<cell_record> decodeRecords(const json &encoded);

} // namespace almond::placement
