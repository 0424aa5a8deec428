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

/// Maximum number of slots among which an organisation's rate is split.
constexpr std::uint32_t MaxSlotsPerOrganisation = 8;

/// The slots, of `shareSlots` in total, among which the organisation's rate is split.
std::vector<std::uint32_t> slotsOf(const base::OrganisationId &organisation,
                                   std::uint32_t shareSlots);

/// Maximum duration of a share loan. A slot whose holder restarted can be claimed only after it,
/// when all loans of the previous process have ended.
constexpr absl::Duration MaxShareLoanDuration = absl::Seconds(8);

struct RateSharesOptions
{
    base::InstanceId instance;
    base::Incarnation incarnation = 0;
    std::uint32_t shareSlots = 8;
    std::uint64_t seed = 1; ///< Randomises the choice among equally suitable lenders.
    absl::Duration decisionTimeout = absl::Milliseconds(20); ///< Maximum time in the queue.
    absl::Duration peerResponseTimeout
        = absl::Milliseconds(5); ///< Further peers are asked after it.
    absl::Duration tokenLoanDuration = absl::Milliseconds(100);
    absl::Duration shareLoanDuration = MaxShareLoanDuration;
    absl::Duration pooledLoanDuration = absl::Seconds(3); ///< Of pooled share loans.
    absl::Duration planInterval = absl::Seconds(1);
    absl::Duration demandWindow
        = absl::Seconds(3); ///< Time constant of the moving average of demand.
    double headroom = 1.2; ///< Ratio of the held rate to the measured demand.
};

/// Distributes each organisation's rate and burst over share slots. The instances that own the
/// slots lend to each other: shares of rate and burst as demand moves, and single tokens when a
/// request finds too few.
///
/// The slots of an organisation with a small burst hold tokens for only a few requests each. They
/// are therefore pooled: while the organisation is active, their owners lend all of them to one
/// owner, the pool holder, from which the others borrow tokens.
class RateShares : public RateLimiter
{
public:
    explicit RateShares(RateSharesOptions options);

    void setOrganisations(const std::vector<Organisation> &organisations, absl::Time now) override;
    void setOwnedSlots(const std::set<std::uint32_t> &slots, absl::Time mayUseUntil,
                       absl::Time now) override;

    /// Sets the owner of each slot according to the log; used to choose lenders.
    void setSlotOwners(const std::map<std::uint32_t, base::InstanceId> &owners);

    /// Stops lending from slots that are to be released. Once `mayRelease` is true they may be left
    /// out of setOwnedSlots and, after that, be released in the log.
    void prepareRelease(const std::set<std::uint32_t> &slots);
    bool mayRelease(absl::Time now);

    /// Sets the peers that membership considers lost; nothing is requested from them.
    void setLostPeers(std::set<base::InstanceId> lost) { lost_ = std::move(lost); }

    Admission admit(const base::OrganisationId &organisation, double cost, absl::Time now) override;
    void cancel(Ticket ticket) override;
    Effects onMessage(const base::InstanceId &from, const PeerMessage &message,
                      absl::Time now) override;
    Effects tick(absl::Time now) override;

    /// Demand and spare tokens of the organisations active here, for heartbeats. At most
    /// `maxCount`; the next call continues with the following organisations.
    std::vector<OrganisationLoad> loads(std::size_t maxCount, absl::Time now);

    /// Number of queued requests.
    std::size_t waiting() const { return tickets_.size(); }

    /// The organisation's account, for tests and metrics; null if there is none.
    const ShareAccount *account(const base::OrganisationId &organisation) const;

private:
    struct QueuedRequest
    {
        Ticket ticket = 0;
        double cost = 0;
        absl::Time deadline;
    };
    struct PeerStatus
    {
        double spareTokens = 0;
        std::int64_t spareUnits = 0;
        absl::Time lastReportAt = absl::InfinitePast();
        absl::Time backOffUntil = absl::InfinitePast(); ///< No tokens are requested before.
        absl::Duration backOff; ///< Doubles with each response that falls short.
    };
    struct ShareLoan
    {
        std::uint64_t loan = 0;
        std::int64_t units = 0;
        absl::Time until;
    };
    struct BorrowerDemand
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
        double demand = 0; ///< Cost per second.
        absl::Time demandAt = absl::InfinitePast();
        std::deque<QueuedRequest> queue;
        double queuedCost = 0;
        std::set<base::InstanceId> askedPeers; ///< Asked for the currently queued requests.
        std::map<base::InstanceId, PeerStatus> peers;
        std::map<std::uint64_t, base::InstanceId> tokenLoans; ///< Lenders of borrowed tokens.
        std::map<base::InstanceId, ShareLoan> shareLoans; ///< Borrowed shares by lender.
        std::map<base::InstanceId, BorrowerDemand> borrowerDemands; ///< As a lender.
    };
    struct PendingRequest
    {
        base::InstanceId lender;
        base::OrganisationId organisation;
        LoanKind kind = LoanKind::Tokens;
        std::uint64_t loan = 0;
        double needed = 0;
        absl::Time sentAt;
        bool overdue = false;
    };
    struct Candidate
    {
        base::InstanceId peer;
        double amount = 0;
    };
    /// Collects effects; items for the same peer are sent in one message.
    struct Outbox
    {
        std::map<base::InstanceId, LoanRequest> requests;
        std::map<base::InstanceId, LoanReturn> returns;
        std::vector<OutgoingMessage> others;
        std::vector<Decision> decisions;
    };

    Entry *find(const base::OrganisationId &organisation);
    void applySlots(Entry &entry, absl::Time now) const;
    void configure(Entry &entry, const Organisation &organisation, absl::Time now);
    std::vector<OutgoingMessage> messagesOf(Outbox &&outbox) const;
    Effects effectsOf(Outbox &&outbox) const;

    // Queued requests.
    double demandOf(const Entry &entry, absl::Time now) const;
    void recordDemand(Entry &entry, double cost, absl::Time now) const;
    bool refillsInTime(const Entry &entry, double missing, absl::Duration time) const;
    void admitQueued(Entry &entry, absl::Time now, Outbox &outbox);
    void rejectUnsatisfiable(Entry &entry, absl::Time now, Outbox &outbox);
    void advanceQueue(Entry &entry, absl::Time now, Outbox &outbox);
    absl::Duration retryAfter(const Entry &entry, double cost) const;

    // Borrowing.
    bool hasPendingTokenRequest(const Entry &entry) const;
    double pendingTokens(const Entry &entry, absl::Time now) const;
    std::vector<base::InstanceId> possibleLenders(const Entry &entry) const;
    double expectedTokens(const Entry &entry, const base::InstanceId &peer, absl::Time now) const;
    double ownedFraction(const Entry &entry, const base::InstanceId &peer) const;
    std::vector<Candidate> tokenCandidates(const Entry &entry, absl::Time now);
    bool requestTokens(Entry &entry, absl::Time now, Outbox &outbox);
    LoanRequestItem &addRequest(Entry &entry, const base::InstanceId &lender, LoanKind kind,
                                std::uint64_t loan, absl::Time now, Outbox &outbox);
    void onLoanResponse(const base::InstanceId &from, const LoanResponse &response, absl::Time now,
                        Outbox &outbox);
    void onTokenLoan(Entry &entry, const PendingRequest &request, const LoanResponseItem &item,
                     absl::Time now);
    void returnTokenLoans(Entry &entry, absl::Time now, Outbox &outbox);
    void onShareLoan(Entry &entry, const PendingRequest &request, const LoanResponseItem &item,
                     absl::Time now);
    void expireRequests(absl::Time now);
    void dropShareRequests(const Entry &entry, const base::InstanceId &lender);
    void plan(Entry &entry, absl::Time now, Outbox &outbox);
    void returnSurplusLoans(Entry &entry, std::int64_t needed, absl::Time now, Outbox &outbox);
    void renewLoans(Entry &entry, std::int64_t needed, absl::Time now, Outbox &outbox);
    void borrowMissing(Entry &entry, std::int64_t needed, absl::Time now, Outbox &outbox);
    bool isPooled(const Entry &entry) const;
    std::optional<base::InstanceId> poolHolderOf(const Entry &entry) const;
    bool isPoolHolder(const Entry &entry, const base::InstanceId &instance) const;
    bool mayRetryPoolHolder(const Entry &entry, absl::Time deadline) const;
    std::int64_t reservedUnits(const Entry &entry) const;
    std::int64_t neededUnits(const Entry &entry, absl::Time now) const;

    // Lending.
    void onLoanRequest(const base::InstanceId &from, const LoanRequest &request, absl::Time now,
                       Outbox &outbox);
    LoanResponseItem lendTokens(Entry &entry, const LoanKey &key, const LoanRequestItem &item,
                                absl::Time now);
    LoanResponseItem lendShare(Entry &entry, const LoanKey &key, const LoanRequestItem &item,
                               absl::Time now);
    std::int64_t fairShare(Entry &entry, const base::InstanceId &borrower, absl::Time now) const;
    double spareTokens(const Entry &entry, absl::Time now) const;
    void onReturn(const base::InstanceId &from, const LoanReturn &message, absl::Time now);
    void onHeartbeat(const base::InstanceId &from, const Heartbeat &message, absl::Time now);

    RateSharesOptions options_;
    std::mt19937_64 random_;
    std::map<base::OrganisationId, Entry> entries_;
    std::unordered_map<std::uint32_t, base::OrganisationId> organisationsByHash_;
    std::set<std::uint32_t> ownedSlots_;
    std::set<std::uint32_t> releasingSlots_;
    absl::Time ownedUntil_ = absl::InfinitePast();
    std::map<std::uint32_t, base::InstanceId> slotOwners_;
    std::set<base::InstanceId> lost_;
    std::map<std::uint64_t, PendingRequest> pending_;
    std::map<Ticket, base::OrganisationId> tickets_;
    /// Organisations with cancelled requests, whose borrowed tokens may have to be returned.
    std::set<base::OrganisationId> cancelled_;
    std::uint64_t nextRequest_ = 1;
    Ticket nextTicket_ = 1;
    absl::Time nextPlan_ = absl::InfinitePast();
    base::OrganisationId nextLoad_;
};

/// Returns the max-min fair share of `demands[index]` when `total` is divided among `demands`.
std::int64_t maxMinShare(std::int64_t total, const std::vector<std::int64_t> &demands,
                         std::size_t index);

} // namespace zinniadoor::control
