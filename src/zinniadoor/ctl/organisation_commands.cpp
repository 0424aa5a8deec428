#include "organisation_commands.hpp"

#include <iostream>

#include "zinniadoor/ctl/arguments.hpp"
#include "zinniadoor/ctl/bundle_draft.hpp"
#include "zinniadoor/ctl/bundle_source.hpp"
#include "zinniadoor/ctl/files.hpp"
#include "zinniadoor/ctl/output.hpp"

namespace zinniadoor::ctl {

namespace {

/// Implements "org create" and "org set-rate", which share their options and differ in the edit.
class RateCommand : public Command
{
public:
    using Edit = base::Status (BundleDraft::*)(const std::string &, const OrganisationRate &);

    RateCommand(std::string name, std::string brief, Edit edit)
        : name_(std::move(name))
        , brief_(std::move(brief))
        , edit_(edit)
    { }

    std::string name() const override { return name_; }
    std::string brief() const override { return brief_; }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        Arguments parser(name(), brief());
        TCLAP::ValueArg<std::string> file("b", "bundle", "draft to edit", true, "", "FILE",
                                          parser.line());
        TCLAP::ValueArg<std::string> id("i", "id", "organisation", true, "", "ID", parser.line());
        TCLAP::ValueArg<double> rate("r", "rate", "requests per second", true, 0, "NUMBER",
                                     parser.line());
        TCLAP::ValueArg<double> burst("u", "burst", "requests that may arrive at once", true, 0,
                                      "NUMBER", parser.line());
        if (const std::optional<ExitCode> ended = parser.parse(arguments))
            return *ended;
        const base::Outcome<std::string> text = readFile(file.getValue());
        if (!text)
            return fail(text.lastReason());
        base::Outcome<BundleDraft> draft = BundleDraft::parse(*text, file.getValue());
        if (!draft)
            return fail(draft.lastReason());
        const base::Status edited
            = ((*draft).*edit_)(id.getValue(), { rate.getValue(), burst.getValue() });
        if (!edited)
            return fail(edited.lastReason());
        return saveDraft(*draft, file.getValue());
    }

private:
    static ExitCode fail(const base::Reason &reason)
    {
        std::cerr << reason.text << "\n";
        return ExitCode::Usage;
    }

    std::string name_;
    std::string brief_;
    Edit edit_;
};

/// Lists a part of a bundle file or of the active bundle.
class ListCommand : public Command
{
public:
    using TableOf = Table (*)(const control::Bundle &);

    ListCommand(std::string name, std::string brief, TableOf tableOf)
        : name_(std::move(name))
        , brief_(std::move(brief))
        , tableOf_(tableOf)
    { }

    std::string name() const override { return name_; }
    std::string brief() const override { return brief_; }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        Arguments parser(name(), brief());
        BundleSourceArguments source(parser);
        OutputArgument output(parser);
        if (const std::optional<ExitCode> ended = parser.parse(arguments))
            return *ended;
        ExitCode code = ExitCode::Ok;
        const std::optional<ValidatedBundle> bundle = source.read(code);
        if (!bundle)
            return code;
        std::cout << render(tableOf_(bundle->bundle), output.format());
        return ExitCode::Ok;
    }

private:
    std::string name_;
    std::string brief_;
    TableOf tableOf_;
};

Table organisationTable(const control::Bundle &bundle)
{
    Table table { { "id", "rate_per_second", "burst", "weight", "keys" }, {} };
    for (const control::Organisation &organisation : bundle.organisations) {
        table.rows.push_back({ organisation.id.str(), organisation.ratePerSecond,
                               organisation.burst, organisation.weight,
                               static_cast<std::uint64_t>(organisation.keys.size()) });
    }
    return table;
}

Table endpointTable(const control::Bundle &bundle)
{
    Table table { { "id", "kind", "data_centre", "address", "role", "reclaimable", "slots" }, {} };
    for (const control::Endpoint &endpoint : bundle.endpoints) {
        table.rows.push_back({ endpoint.id.str(), control::nameOf(endpoint.kind),
                               endpoint.dataCentre.str(), endpoint.address,
                               control::nameOf(endpoint.role), endpoint.reclaimable,
                               static_cast<std::uint64_t>(endpoint.slots) });
    }
    return table;
}

} // namespace

std::vector<std::unique_ptr<Command>> organisationCommands()
{
    std::vector<std::unique_ptr<Command>> commands;
    commands.push_back(std::make_unique<RateCommand>("org create", "add an organisation to a draft",
                                                     &BundleDraft::addOrganisation));
    commands.push_back(std::make_unique<ListCommand>(
        "org list", "list a bundle's organisations and their rates", &organisationTable));
    commands.push_back(std::make_unique<RateCommand>(
        "org set-rate", "change an organisation's rate in a draft", &BundleDraft::setRate));
    commands.push_back(std::make_unique<ListCommand>("endpoint list", "list a bundle's endpoints",
                                                     &endpointTable));
    return commands;
}

} // namespace zinniadoor::ctl
