#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "zinniadoor/control/rate_limiter.hpp"
#include "zinniadoor/control/share_account.hpp"

namespace zinniadoor::control {

/// Slots into which an organisation's rate is split: at most this many.
constexpr std::uint32_t MaxSlotsPerOrganisation = 8;

/// The slots that hold the parts of an organisation, of `shareSlots` in all.
std::vector<std::uint32_t> slotsOf(const base::OrganisationId &organisation,
                                   std::uint32_t shareSlots);

/// Longest time for which a lender lends; whoever claims a part from a holder that restarted waits
/// it out first.
constexpr absl::Duration ShareLoanTime = absl::Seconds(8);

struct RateSharesOptions
{
    base::InstanceId instance;
    base::Incarnation incarnation = 0;
    std::uint32_t shareSlots = 8;
    std::uint64_t seed = 1; ///< Spreads asks over peers that look equal.
    absl::Duration askWait = absl::Milliseconds(20); ///< Longest wait for a decision.
    absl::Duration askPatience = absl::Milliseconds(5); ///< Then further peers are asked.
    absl::Duration tokenLoanTime = absl::Milliseconds(100);
    absl::Duration shareLoanTime = ShareLoanTime;
    absl::Duration concentratedLoanTime = absl::Seconds(3);
    absl::Duration planInterval = absl::Seconds(1);
    absl::Duration demandWindow = absl::Seconds(3); ///< Time constant of the demand measured.
    double headroom = 1.2; ///< Rate held per demand measured.
};

/// Rate and burst as parts that owners lend to each other: part by part as demand moves, and a
/// few tokens at once when a request finds none. The parts of an organisation with a small burst
/// hold less than a few requests each; while it is in use, their owners lend them all to one owner,
/// its collector, whom the others ask for tokens.
class RateShares : public RateLimiter
{
public:
    explicit RateShares(RateSharesOptions options);

    void setOrganisations(const std::vector<Organisation> &organisations, absl::Time now) override;
    void setOwnedSlots(const std::set<std::uint32_t> &slots, absl::Time mayUseUntil,
                       absl::Time now) override;

    /// Who owns which slot according to the log, for choosing whom to ask.
    void setSlotOwners(const std::map<std::uint32_t, base::InstanceId> &owners);

    /// Slots to be given up: they are no longer lent. Once `mayRelease` is true they may be left
    /// out of setOwnedSlots and, after that, be released in the log.
    void prepareRelease(const std::set<std::uint32_t> &slots);
    bool mayRelease(absl::Time now);

    /// Peers that membership holds for lost; they are not asked.
    void setLostPeers(std::set<base::InstanceId> lost) { lost_ = std::move(lost); }

    Admission admit(const base::OrganisationId &organisation, double cost, absl::Time now) override;
    void cancel(Ticket ticket) override;
    Effects onMessage(const base::InstanceId &from, const PeerMessage &message,
                      absl::Time now) override;
    Effects tick(absl::Time now) override;

    /// Demand and spare of the organisations in use here, for heartbeats; at most `maxCount`,
    /// going on with the next ones at the next call.
    std::vector<OrganisationLoad> loads(std::size_t maxCount, absl::Time now);

    /// Requests that wait for a decision.
    std::size_t waiting() const { return tickets_.size(); }

    /// The account of an organisation, for tests and metrics; null if there is none.
    const ShareAccount *account(const base::OrganisationId &organisation) const;

private:
    struct WaitingRequest
    {
        Ticket ticket = 0;
        double cost = 0;
        absl::Time deadline;
    };
    struct PeerView
    {
        double spareTokens = 0;
        std::int64_t spareUnits = 0;
        absl::Time heardAt = absl::InfinitePast();
        absl::Time emptyUntil = absl::InfinitePast(); ///< Not asked for tokens before.
        absl::Duration emptyPause; ///< Doubles with each answer without tokens.
    };
    struct ShareLoan
    {
        std::uint64_t loan = 0;
        std::int64_t units = 0;
        absl::Time until;
    };
    struct Want
    {
        std::int64_t units = 0;
        absl::Time at;
    };
    struct Entry
    {
        explicit Entry(absl::Time now)
            : account(now)
        { }
        base::OrganisationId id;
        ShareAccount account;
        std::vector<std::uint32_t> slots;
        double demand = 0; ///< Cost a second.
        absl::Time demandAt = absl::InfinitePast();
        std::deque<WaitingRequest> waiting;
        double waitingCost = 0;
        std::set<base::InstanceId> asked; ///< For the requests that wait now.
        std::map<base::InstanceId, PeerView> peers;
        std::map<std::uint64_t, base::InstanceId> held; ///< Token loans and their lenders.
        std::map<base::InstanceId, ShareLoan> loans; ///< Taken, by lender.
        std::map<base::InstanceId, Want> wants; ///< Of borrowers, as a lender.
    };
    struct PendingAsk
    {
        base::InstanceId lender;
        base::OrganisationId organisation;
        LoanKind kind = LoanKind::Tokens;
        std::uint64_t loan = 0;
        double needed = 0;
        absl::Time askedAt;
        bool overdue = false;
    };
    struct Candidate
    {
        base::InstanceId peer;
        double amount = 0;
    };
    /// Collects effects; items for one peer share a message.
    struct Outbox
    {
        std::map<base::InstanceId, LoanRequest> asks;
        std::map<base::InstanceId, LoanReturn> returns;
        std::vector<OutgoingMessage> others;
        std::vector<Decision> decisions;
    };

    Entry *find(const base::OrganisationId &organisation);
    void applySlots(Entry &entry, absl::Time now) const;
    void configure(Entry &entry, const Organisation &organisation, absl::Time now);
    std::vector<OutgoingMessage> messagesOf(Outbox &&outbox) const;
    Effects effectsOf(Outbox &&outbox) const;

    // Requests that wait.
    double demandOf(const Entry &entry, absl::Time now) const;
    void noteDemand(Entry &entry, double cost, absl::Time now) const;
    bool refillsInTime(const Entry &entry, double missing, absl::Duration time) const;
    void serve(Entry &entry, absl::Time now, Outbox &outbox);
    void refuseHopeless(Entry &entry, absl::Time now, Outbox &outbox);
    void goOn(Entry &entry, absl::Time now, Outbox &outbox);
    absl::Duration retryAfter(const Entry &entry, double cost) const;

    // Borrowing.
    bool hasPendingTokens(const Entry &entry) const;
    double pendingTokens(const Entry &entry, absl::Time now) const;
    std::vector<base::InstanceId> owners(const Entry &entry) const;
    double expectedTokens(const Entry &entry, const base::InstanceId &peer, absl::Time now) const;
    double partOf(const Entry &entry, const base::InstanceId &peer) const;
    std::vector<Candidate> tokenCandidates(const Entry &entry, absl::Time now);
    bool askForTokens(Entry &entry, absl::Time now, Outbox &outbox);
    LoanRequestItem &ask(Entry &entry, const base::InstanceId &lender, LoanKind kind, std::uint64_t loan,
                    absl::Time now, Outbox &outbox);
    void onAnswer(const base::InstanceId &from, const LoanResponse &answer, absl::Time now,
                  Outbox &outbox);
    void onTokens(Entry &entry, const PendingAsk &asked, const LoanResponseItem &item, absl::Time now);
    void returnHeld(Entry &entry, absl::Time now, Outbox &outbox);
    void onShare(Entry &entry, const PendingAsk &asked, const LoanResponseItem &item, absl::Time now);
    void expireAsks(absl::Time now);
    void dropAsks(const Entry &entry, const base::InstanceId &lender);
    void plan(Entry &entry, absl::Time now, Outbox &outbox);
    void returnSurplus(Entry &entry, std::int64_t needed, absl::Time now, Outbox &outbox);
    void renewLoans(Entry &entry, std::int64_t needed, absl::Time now, Outbox &outbox);
    void borrowMore(Entry &entry, std::int64_t needed, absl::Time now, Outbox &outbox);
    bool isConcentrated(const Entry &entry) const;
    std::optional<base::InstanceId> collectorOf(const Entry &entry) const;
    bool isCollector(const Entry &entry, const base::InstanceId &instance) const;
    bool mayAskAgain(const Entry &entry, absl::Time deadline) const;
    std::int64_t keptUnits(const Entry &entry) const;
    std::int64_t neededUnits(const Entry &entry, absl::Time now) const;

    // Lending.
    void onAsk(const base::InstanceId &from, const LoanRequest &message, absl::Time now,
               Outbox &outbox);
    LoanResponseItem lendTokens(Entry &entry, const LoanKey &key, const LoanRequestItem &item, absl::Time now);
    LoanResponseItem lendShare(Entry &entry, const LoanKey &key, const LoanRequestItem &item, absl::Time now);
    std::int64_t fairUnits(Entry &entry, const base::InstanceId &borrower, absl::Time now) const;
    double spareTokens(const Entry &entry, absl::Time now) const;
    void onReturn(const base::InstanceId &from, const LoanReturn &message, absl::Time now);
    void onHeartbeat(const base::InstanceId &from, const Heartbeat &message, absl::Time now);

    RateSharesOptions options_;
    std::mt19937_64 random_;
    std::map<base::OrganisationId, Entry> entries_;
    std::unordered_map<std::uint32_t, base::OrganisationId> shortNames_;
    std::set<std::uint32_t> ownedSlots_;
    std::set<std::uint32_t> leavingSlots_;
    absl::Time ownedUntil_ = absl::InfinitePast();
    std::map<std::uint32_t, base::InstanceId> slotOwners_;
    std::set<base::InstanceId> lost_;
    std::map<std::uint64_t, PendingAsk> pending_;
    std::map<Ticket, base::OrganisationId> tickets_;
    std::set<base::OrganisationId>
        left_; ///< A waiting caller has left; tokens may have to go back.
    std::uint64_t nextAsk_ = 1;
    Ticket nextTicket_ = 1;
    absl::Time nextPlan_ = absl::InfinitePast();
    base::OrganisationId nextLoad_;
};

/// Divides `total` so that nobody gets more than wanted and the smallest portions are as large as
/// can be (max-min fairness). Returns the portion of `wants[index]`.
std::int64_t maxMinPortion(std::int64_t total, const std::vector<std::int64_t> &wants,
                           std::size_t index);

} // namespace zinniadoor::control
