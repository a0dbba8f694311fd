#pragma once

#include "placement/types.h"

#include <span>
#include <variant>
#include <vector>

namespace almond::placement {

//! A scheduler became the owner of the cell. The index of this journal entry is the cell's new epoch.
struct owner_record
{
    std::string owner;
    std::int64_t atMs = 0;
};

//! A worker joined the cell, restarted as a new incarnation or changed its capacity.
struct worker_record
{
    std::string worker;
    std::string incarnation;
    std::string address;
    std::string rack;
    resources capacity;
};

//! A job was accepted, either from its submitter or from another cell.
struct admitted_record
{
    job_spec spec;
    std::int64_t atMs = 0;
    //! Number of attempts made in other cells.
    std::uint32_t attempt = 0;
    std::uint32_t failures = 0;
    std::string checkpoint;
    //! Number of times that the job moved between cells. It makes a repeated move idempotent.
    std::uint32_t hops = 0;
};

//! The next attempt to run the job was assigned to a worker.
struct assigned_record
{
    std::string job;
    std::string worker;
    std::int64_t atMs = 0;
};

//! The attempt has certainly ended and can't run any more.
struct ended_record
{
    attempt_id id;
    attempt_outcome outcome = attempt_outcome::done;
    std::string checkpoint;
    std::int64_t atMs = 0;
};

//! The submitter cancelled the job. A running attempt remains assigned until the worker has stopped it.
struct cancelled_record
{
    std::string job;
    std::int64_t atMs = 0;
};

//! The job is unschedulable: it can never fit on any worker.
struct impossible_record
{
    std::string job;
    std::string reason;
    std::int64_t atMs = 0;
};

//! The job is being moved to another cell, which may already have admitted it.
struct move_started_record
{
    std::string job;
    std::string target;
    std::int64_t atMs = 0;
};

//! The other cell has admitted the job.
struct move_finished_record
{
    std::string job;
    std::int64_t atMs = 0;
};

//! Jobs that are deleted because they ended longer ago than the retention time.
struct forgotten_record
{
    std::vector<std::string> jobs;
};

using cell_record = std::variant<owner_record, worker_record, admitted_record, assigned_record, ended_record,
                                 cancelled_record, impossible_record, move_started_record,
                                 move_finished_record, forgotten_record>;

//! Encodes \a records as the body of a journal entry.
json encodeRecords(std::span<const cell_record> records);
//! Inverse of encodeRecords(). Throws nlohmann::json::exception on a malformed record and
//! std::runtime_error on a record of an unknown type.
std::vector<cell_record> decodeRecords(const json &encoded);

} // namespace almond::placement
