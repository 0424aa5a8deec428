#include "zinniadoor/daemon/burn_recorder.hpp"

#include <nlohmann/json.hpp>

namespace zinniadoor::daemon {

namespace {

using Json = nlohmann::json;

/// Stands for the organisation of requests on open routes; not valid as an organisation id.
constexpr const char *OpenRoutesName = "(open)";

Json rowJson(const serving::BurnRow &row)
{
    Json windows = Json::object();
    for (std::size_t i = 0; i < serving::BurnWindowCount; ++i) {
        windows[serving::burnWindows()[i].name]
            = { { "good", row.windows[i].good }, { "total", row.windows[i].total } };
    }
    return { { "organisation", row.organisation.str() },
             { "route", row.route },
             { "windows", std::move(windows) } };
}

Json objectiveJson(const control::Objective &objective)
{
    return { { "route", objective.route },
             { "first_byte_ms", objective.firstByteMilliseconds },
             { "target", objective.target } };
}

} // namespace

bool isCallerError(base::ReasonCode code)
{
    switch (code) {
    case base::ReasonCode::InvalidArgument:
    case base::ReasonCode::Unauthorized:
    case base::ReasonCode::Forbidden:
    case base::ReasonCode::NotFound:
    case base::ReasonCode::Conflict:
    case base::ReasonCode::Gone:
        return true;
    case base::ReasonCode::Overloaded:
    case base::ReasonCode::Timeout:
    case base::ReasonCode::Unavailable:
    case base::ReasonCode::OutcomeUnknown:
    case base::ReasonCode::Internal:
        return false;
    }
    return false;
}

BurnRecorder::BurnRecorder(const base::Clock &clock)
    : clock_(clock)
{ }

void BurnRecorder::setConfiguration(const control::Bundle &bundle)
{
    const absl::MutexLock lock(&mutex_);
    bundleVersion_ = bundle.version;
    objectives_.clear();
    for (const control::Objective &objective : bundle.objectives)
        objectives_[objective.route] = objective;
}

void BurnRecorder::countAnswer(const base::OrganisationId &organisation, const std::string &route,
                               absl::Duration firstByte)
{
    const absl::MutexLock lock(&mutex_);
    const auto found = objectives_.find(route);
    if (found == objectives_.end())
        return;
    count(organisation, route,
          firstByte <= absl::Milliseconds(found->second.firstByteMilliseconds));
}

void BurnRecorder::countFailure(const base::OrganisationId &organisation, const std::string &route,
                                base::ReasonCode code)
{
    const absl::MutexLock lock(&mutex_);
    if (!isCallerError(code) && objectives_.count(route) != 0)
        count(organisation, route, false);
}

void BurnRecorder::count(const base::OrganisationId &organisation, const std::string &route,
                         bool isGood)
{
    const base::OrganisationId counted
        = organisation.empty() ? base::OrganisationId(OpenRoutesName) : organisation;
    counter_.add(counted, route, isGood, clock_.wallTime());
}

std::string BurnRecorder::json() const
{
    std::vector<serving::BurnRow> rows;
    Json document;
    Json objectives = Json::array();
    {
        const absl::MutexLock lock(&mutex_);
        document["bundle_version"] = bundleVersion_;
        for (const auto &[route, objective] : objectives_)
            objectives.push_back(objectiveJson(objective));
        rows = counter_.rows(clock_.wallTime());
    }
    document["objectives"] = std::move(objectives);
    document["rows"] = Json::array();
    for (const serving::BurnRow &row : rows)
        document["rows"].push_back(rowJson(row));
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace zinniadoor::daemon
